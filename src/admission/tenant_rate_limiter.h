/// @file
/// Admission of one tenant's requests: rate limiting with a suppression factor.
#pragma once

#include <string>

#include "admission/sliding_window.h"
#include "nettleyoke/balancer.h"
#include "nettleyoke/settings.h"
#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Admits or rejects the requests of one tenant at this replica and learns the tenant's rate limit.
///
/// Below the soft limit all requests are admitted. Between the soft and the hard limit a request is rejected
/// with a probability, the suppression factor. From the hard limit on all requests are rejected. A tenant
/// without a quota has no limit. The limit is learned only from the results of requests, not from the state
/// of servers.
class TenantRateLimiter {
 public:
  /// @param tenant Quota and name of the tenant.
  /// @param settings Settings of the replica: replica count, tier and weight beyond the quota.
  TenantRateLimiter(const Tenant& tenant, const Settings& settings);

  /// Copies the limit and the window learned under earlier settings for the tenant of the same name.
  void inherit(const TenantRateLimiter& previous);

  /// Decides whether to admit one request, and counts it.
  /// @param random One draw is taken; none below the soft limit.
  [[nodiscard]] bool admit(double now, RandomSource& random);

  /// Whether the tenant's recent requests are within its quota. Always false behind the first tier, for a
  /// tenant without a quota, and if requests beyond the quota have full weight. When other tenants flood the
  /// tier, their requests of low weight use up all capacity; requests within the quota therefore get a higher
  /// concurrency limit. The other requests do not get a lower limit instead: fewer of them would get
  /// responses, and as limits are learned from responses, their limit would drop further and further.
  [[nodiscard]] bool is_within_quota(double now) const;

  /// Raises the limit by a small step after a response in time, if the tenant uses more than half of the
  /// limit.
  void on_success(double now);

  /// Lowers the limit by a step, but not below its floor, after a request was rejected, timed out or could
  /// not connect.
  void on_failure();

  [[nodiscard]] TenantStatistics statistics(double now) const;
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  [[nodiscard]] double current_suppression_factor(const SlidingWindow::Sums& sums) const;
  [[nodiscard]] double step() const;

  std::string name_;
  SlidingWindow window_;
  bool over_quota_weighs_less_ = false;  // first tier, and requests beyond the quota have a lower weight
  double rate_limit_ = kInfinity;        // requests per second
  double initial_limit_ = kInfinity;     // requests per second
  double limit_floor_ = 0;               // lower bound of rate_limit_, requests per second
  double over_quota_weight_ = 1;         // slows the rise above initial_limit_
  double cached_factor_ = 0;
  double factor_cached_until_ = -kInfinity;
};

}  // namespace nettleyoke
