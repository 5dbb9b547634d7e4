/// @file
/// How long an attempt may take.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// The timeout of the next attempt, s; 0 or less: an answer would be worthless. An attempt may take until the
/// answer is worthless, or until it is clearly late while another attempt can follow.
[[nodiscard]] double attempt_timeout(double now, const RequestState& request);

}  // namespace nettleyoke
