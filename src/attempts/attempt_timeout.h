/// @file
/// The timeout of an attempt.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// The timeout of the next attempt, s; 0 or less: a response would already be worthless. The attempt
/// may last until its response is worthless; but if a retry is allowed and would still have time for a
/// response, only until the attempt is clearly late.
[[nodiscard]] double attempt_timeout(double now, const RequestState& request);

}  // namespace nettleyoke
