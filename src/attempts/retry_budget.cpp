#include "attempts/retry_budget.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Retries earned by one first attempt.
constexpr double kTokensPerFirstAttempt = 0.1;

}  // namespace

bool RetryBudget::allows_retry(double now, const RequestState& request) const {
  if (request.response_started || request.body_consumed) return false;
  if (request.attempts.size() >= static_cast<std::size_t>(request.request_class->max_attempts)) return false;
  return tokens_ >= 1 && request.time_left(now) > request.request_class->latency.mean() / 2;
}

void RetryBudget::on_first_attempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

void RetryBudget::on_retry() { tokens_ = std::min(kMaxTokens, tokens_ - 1); }

}  // namespace nettleyoke
