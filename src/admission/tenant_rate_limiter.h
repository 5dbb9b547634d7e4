/// @file
/// Admission of one tenant's calls: the suppressed rate limiting of the design.
#pragma once

#include <string>

#include "admission/sliding_window.h"
#include "nettleyoke/balancer.h"
#include "nettleyoke/settings.h"
#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Admits or declines the calls of one tenant at this replica and learns the tenant's rate limit.
///
/// Three regimes: under the soft limit all calls are admitted; between the soft and the hard limit a call is
/// declined with a probability, the suppression factor; from the hard limit on all are declined. A tenant
/// without a quota has no limit. It knows nothing of servers: it learns from how calls ended alone.
class TenantRateLimiter {
 public:
  /// @param tenant Its quota and name.
  /// @param settings Of the replica: its part of the quota, the tier, the weight beyond the quota.
  TenantRateLimiter(const Tenant& tenant, const Settings& settings);

  /// Takes over what was learned under earlier settings for a tenant of the same name.
  void inherit(const TenantRateLimiter& previous);

  /// Decides on one call and counts it.
  /// @param random One draw is taken, and only between the soft and the hard limit.
  [[nodiscard]] bool admit(double now, RandomSource& random);

  /// Whether the tenant has had less than its quota of late. Where other tenants flood the tier, calls of
  /// little weight take all the capacity, so that calls within the quota get more of it. To give less
  /// capacity to the others instead would feed on itself, because capacity is learned from answers.
  [[nodiscard]] bool is_within_quota(double now) const;

  /// A call has ended well: the limit rises by a small step if it is in use.
  void on_success(double now);

  /// A call was rejected, timed out or could not connect: the limit drops by a step, down to its floor.
  void on_failure();

  [[nodiscard]] TenantStatistics statistics(double now) const;
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  [[nodiscard]] double current_suppression_factor(const SlidingWindow::Sums& sums) const;
  [[nodiscard]] double step() const;

  std::string name_;
  SlidingWindow window_;
  bool over_quota_weighs_less_ = false;  // in the first tier, where calls beyond the quota count for less
  double rate_limit_ = kInfinity;        // calls per second
  double initial_limit_ = kInfinity;     // the same, where the limit started
  double limit_floor_ = 0;               // the same, which the limit never drops below
  double over_quota_weight_ = 1;         // slows the rise above initial_limit_
  double cached_factor_ = 0;
  double factor_cached_until_ = -kInfinity;
};

}  // namespace nettleyoke
