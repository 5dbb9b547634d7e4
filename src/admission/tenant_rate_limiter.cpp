#include "admission/tenant_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// A tenth of the 1 s over which the rate of the last second is measured.
constexpr double kBucketSeconds = 0.1;
// 4 s, so that a replica with one request per second still has a few requests in the window.
constexpr int kWindowBuckets = 40;
constexpr double kWindowSeconds = kBucketSeconds * kWindowBuckets;
// 1 s. The suppression factor uses the higher of the rates over the last second and over the window.
constexpr int kLastSecondBuckets = 10;

// Hard limit as a multiple of the soft limit. Rejected requests count against the hard limit too. The factor
// is therefore high: all requests of a tenant are rejected only if the tenant floods the replica.
constexpr double kHardLimitFactor = 20;
// How long a suppression factor between 0 and 1 is cached.
constexpr double kFactorCacheSeconds = 0.1;

// Initial limit as a multiple of this replica's share of the quota. The limit starts high, and failures lower
// it.
constexpr double kInitialLimitPerQuota = 1.5;
// Standard deviations of the request rate that the initial limit allows for random variation.
constexpr double kInitialLimitDeviations = 1.5;
// Floor of the limit as a multiple of this replica's share of the quota. The capacity of the tier exceeds the
// sum of all quotas.
constexpr double kFloorPerQuota = 1;
// The floor behind the first tier, as the same multiple. It is higher there, because a rejection wastes the
// work that the tiers before have done.
constexpr double kInnerTierFloorPerQuota = 6;

// Upper bounds of the step by which one failure lowers the limit: in requests per second, and as a fraction
// of the limit.
constexpr double kMaxStepRequestsPerSecond = 0.4;
constexpr double kMaxStepFraction = 0.1;
// Failures per success at which the limit stays constant.
constexpr double kFailuresPerSuccess = 0.25;

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived_rate = std::max(window_rate, last_second_rate);
  return perceived_rate <= 0 ? 0 : std::clamp(1 - rate_limit / perceived_rate, 0.0, 1.0);
}

TenantRateLimiter::TenantRateLimiter(const Tenant& tenant, const Settings& settings)
    : name_(tenant.name), window_(kBucketSeconds, kWindowBuckets, kLastSecondBuckets) {
  if (!tenant.quota) return;
  const double replica_quota = *tenant.quota / settings.replica_count;
  limit_floor_ = replica_quota * (settings.tier == 0 ? kFloorPerQuota : kInnerTierFloorPerQuota);
  over_quota_weight_ = settings.over_quota_weight;
  over_quota_weighs_less_ = settings.tier == 0 && over_quota_weight_ < 1;
  const double noise = kInitialLimitDeviations * std::sqrt(replica_quota / kWindowSeconds);
  initial_limit_ = std::max(limit_floor_, replica_quota * kInitialLimitPerQuota + noise);
  rate_limit_ = initial_limit_;
}

void TenantRateLimiter::inherit(const TenantRateLimiter& previous) {
  window_ = previous.window_;
  if (std::isfinite(rate_limit_) && std::isfinite(previous.rate_limit_)) {
    rate_limit_ = std::max(limit_floor_, previous.rate_limit_);
  }
}

double TenantRateLimiter::current_suppression_factor(const SlidingWindow::Sums& sums) const {
  const double soft_limit = rate_limit_ * kWindowSeconds;
  if (sums.accepted() < soft_limit) return 0;
  if (sums.total >= soft_limit * kHardLimitFactor) return 1;
  return suppression_factor(rate_limit_, sums.total / kWindowSeconds, sums.last_second);
}

// A factor between 0 and 1 is cached, and a new one replaces it only after kFactorCacheSeconds. A factor of 0
// or 1 is not cached: each takes only a comparison.
bool TenantRateLimiter::admit(double now, RandomSource& random) {
  double factor = current_suppression_factor(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= factor_cached_until_) {
      cached_factor_ = factor;
      factor_cached_until_ = now + kFactorCacheSeconds;
    }
    factor = cached_factor_;
  }
  const bool admitted = factor == 0 || random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

bool TenantRateLimiter::is_within_quota(double now) const {
  return over_quota_weighs_less_ && std::isfinite(rate_limit_) &&
         window_.sums(now).accepted() <= limit_floor_ * kWindowSeconds;
}

// The step by which one failure lowers the limit, as a fraction of the limit; a success raises it by a part
// of this step. Requests that were admitted under a higher limit still fail after the limit was lowered, and
// the limit must not drop too far because of them. Therefore a second in which requests arrive at the rate of
// the limit and all fail lowers the limit, however high, by a fraction of at most kMaxStepRequestsPerSecond.
double TenantRateLimiter::step() const {
  return std::min(kMaxStepFraction, kMaxStepRequestsPerSecond / rate_limit_);
}

void TenantRateLimiter::on_success(double now) {
  if (!std::isfinite(rate_limit_)) return;
  if (!(window_.sums(now).accepted() > rate_limit_ * kWindowSeconds / 2)) return;
  rate_limit_ *= 1 + step() * kFailuresPerSuccess * (rate_limit_ > initial_limit_ ? over_quota_weight_ : 1);
}

void TenantRateLimiter::on_failure() {
  if (!std::isfinite(rate_limit_)) return;
  rate_limit_ = std::max(limit_floor_, rate_limit_ * (1 - step()));
}

TenantStatistics TenantRateLimiter::statistics(double now) const {
  const SlidingWindow::Sums sums = window_.sums(now);
  return {rate_limit_, current_suppression_factor(sums), sums.total, sums.rejected};
}

}  // namespace nettleyoke
