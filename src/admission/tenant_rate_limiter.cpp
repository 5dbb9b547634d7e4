#include "admission/tenant_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// A tenth of the short rate's second.
constexpr double kBucketSeconds = 0.1;
// 4 s: a replica that sees one call a second has some calls to judge by.
constexpr int kWindowBuckets = 40;
constexpr double kWindowSeconds = kBucketSeconds * kWindowBuckets;
// 1000 ms, the short rate of the design.
constexpr int kShortRateBuckets = 10;

// Declined calls count towards the hard limit too: below real floods no tenant is declined altogether.
constexpr double kHardLimitFactor = 20;
// How long a suppression factor between 0 and 1 is cached; as in the design.
constexpr double kFactorCacheSeconds = 0.1;

// A generous start, as a multiple of this replica's part of the quota.
constexpr double kInitialLimitPerQuota = 1.5;
// Standard deviations of a count that the initial limit leaves to chance.
constexpr double kInitialLimitDeviations = 1.5;
// Floor as a multiple of this replica's part of the quota: the tier can do more than all quotas together.
constexpr double kFloorPerQuota = 1;
// The same past the first tier, where a rejection wastes the work that was done above.
constexpr double kInnerTierFloorPerQuota = 6;

// What a failure takes off: calls per second, and as a part of the limit at most.
constexpr double kMaxStepCallsPerSecond = 0.4;
constexpr double kMaxStepPart = 0.1;
// Failures for each success at which a limit stays where it is.
constexpr double kFailuresPerSuccess = 0.25;

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived_rate = std::max(window_rate, last_second_rate);
  return perceived_rate <= 0 ? 0 : std::clamp(1 - rate_limit / perceived_rate, 0.0, 1.0);
}

TenantRateLimiter::TenantRateLimiter(const Tenant& tenant, const Settings& settings)
    : name_(tenant.name), window_(kBucketSeconds, kWindowBuckets, kShortRateBuckets) {
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

// The factor is cached as in the design, but for its ends: those are two comparisons.
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

// Calls end a feedback delay after they were admitted: a second in which all of them fail takes
// kMaxStepCallsPerSecond of a limit and no more, however high it is.
double TenantRateLimiter::step() const {
  return std::min(kMaxStepPart, kMaxStepCallsPerSecond / rate_limit_);
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
  return {rate_limit_, current_suppression_factor(sums), sums.total, sums.declined};
}

}  // namespace nettleyoke
