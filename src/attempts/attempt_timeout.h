/// @file
/// The timeout of an attempt.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// The timeout of the next attempt, s; 0 or less: a response would already be worthless. An attempt may last
/// until its response is worthless. If a retry is allowed and has time left, it lasts only until it is
/// clearly late.
[[nodiscard]] double attempt_timeout(double now, const RequestState& request);

}  // namespace nettleyoke
