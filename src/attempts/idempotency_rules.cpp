#include "attempts/idempotency_rules.h"

#include <algorithm>

#include "statistics/infinity.h"

namespace nettleyoke {

bool proves_never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

bool allows_attempt_after(double now, const RequestClass& class_settings, const AttemptRecord& earlier,
                          const Server& earlier_server, const Server& candidate) {
  if (!earlier.may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (class_settings.idempotency == Idempotency::kNonIdempotent) return false;
  if (now > earlier.sent_at + class_settings.dedup_window) return false;
  if (class_settings.dedup_scope == DedupScope::kZone) return earlier_server.zone == candidate.zone;
  if (class_settings.dedup_scope == DedupScope::kCell) return earlier_server.cell == candidate.cell;
  return true;
}

std::optional<double> retry_send_limit(double now, const RequestState& request) {
  const RequestClass& class_settings = request.class_settings();
  if (class_settings.idempotency != Idempotency::kIdempotencyKey || !request.may_have_run())
    return std::nullopt;
  double limit = kInfinity;
  for (const AttemptRecord& attempt : request.attempts) {
    if (attempt.may_have_run) limit = std::min(limit, attempt.sent_at + class_settings.dedup_window - now);
  }
  return limit;
}

bool may_reject(const RequestState& request) {
  const RequestClass& class_settings = request.class_settings();
  if (class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (class_settings.idempotency == Idempotency::kIdempotencyKey &&
      class_settings.dedup_scope == DedupScope::kAll)
    return true;
  return !request.may_have_run();
}

}  // namespace nettleyoke
