#include "attempts/attempt_timeout.h"

namespace nettleyoke {

double attempt_timeout(double now, const RequestState& request) {
  const double time_left = request.time_left(now);
  const LatencyEstimate& latency = request.request_class->latency;
  const double late_threshold = latency.late_threshold();
  const bool can_retry =
      request.class_settings().idempotency != Idempotency::kNonIdempotent &&
      request.attempts.size() + 1 < static_cast<std::size_t>(request.request_class->max_attempts);
  return can_retry && time_left - late_threshold > latency.mean() ? late_threshold : time_left;
}

}  // namespace nettleyoke
