/// @file
/// The timeout of an attempt.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// The timeout of the next attempt, s; 0 or less: a response would already be worthless. The attempt
/// may last until its response is worthless; but if a retry is allowed and would still have time for a
/// response, it may last only until the late threshold of its class (LatencyEstimate::late_threshold()).
[[nodiscard]] double attempt_timeout(double now, const RequestState& request);

}  // namespace nettleyoke
