#include "attempts/attempt_timeout.h"

namespace nettleyoke {

double attempt_timeout(double now, const RequestState& request) {
  const double time_left = request.time_left(now);
  const LatencyEstimate& latency = request.request_class->latency;
  const double longest = latency.clearly_late_after();
  const bool can_retry =
      request.rules().idempotency != Idempotency::kNonIdempotent &&
      request.attempts.size() + 1 < static_cast<std::size_t>(request.request_class->max_attempts);
  return can_retry && time_left - longest > latency.mean() ? longest : time_left;
}

}  // namespace nettleyoke
