/// @file
/// The parts of admission: sliding window, tenant rate limiter, tenant table, load shedding log.
#include <gtest/gtest.h>

#include "admission/load_shedding_log.h"
#include "admission/sliding_window.h"
#include "admission/tenant_rate_limiter.h"
#include "admission/tenant_table.h"
#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// With a quota of 10 requests/s, the rate limit starts at 17.4 requests/s and its floor is 10 requests/s. In
// the window of 4 s, the soft limit is 69.5 requests and the hard limit 1389.7 requests.
constexpr double kQuota = 10;
constexpr int kRequestsBelowSoftLimit = 69;
constexpr int kRequestsAtHardLimit = 1390;

TenantRateLimiter limiter_of(double over_quota_weight = 1, int tier = 0) {
  Settings settings = basic_settings();
  settings.over_quota_weight = over_quota_weight;
  settings.tier = tier;
  return {Tenant{kQuota, "tenant"}, settings};
}

int count_admitted(TenantRateLimiter& limiter, int requests, double now, RandomSource& random) {
  int admitted = 0;
  for (int i = 0; i < requests; ++i) admitted += limiter.admit(now, random) ? 1 : 0;
  return admitted;
}

TEST(SlidingWindow, RequestCountsInTheLastSecondForOneSecondAndInTheWindowForFour) {
  SlidingWindow window(0.1, 40, 10);
  window.add(10.05, true);
  window.add(10.05, false);
  EXPECT_EQ(window.sums(10.95).last_second, 2);
  EXPECT_EQ(window.sums(11.05).last_second, 0);
  EXPECT_EQ(window.sums(13.95).total, 2);
  EXPECT_EQ(window.sums(13.95).accepted(), 1);
  EXPECT_EQ(window.sums(14.05).total, 0);
}

TEST(SlidingWindow, ReusedBucketNoLongerCountsItsEarlierRequests) {
  SlidingWindow window(0.1, 40, 10);
  window.add(-0.05, false);
  window.add(3.95, false);  // 40 buckets later, in the same bucket
  EXPECT_EQ(window.sums(3.95).total, 1);
}

TEST(TenantRateLimiter, BelowTheSoftLimitAllRequestsAreAdmittedWithoutARandomDraw) {
  TenantRateLimiter limiter = limiter_of();
  RandomSource random(1);
  EXPECT_EQ(count_admitted(limiter, kRequestsBelowSoftLimit, 100, random), kRequestsBelowSoftLimit);
  EXPECT_EQ(random.next(), RandomSource(1).next());
}

TEST(TenantRateLimiter, BetweenTheLimitsRequestsAreRejectedWithTheSuppressionFactor) {
  TenantRateLimiter limiter = limiter_of();
  RandomSource random(1);
  count_admitted(limiter, kRequestsBelowSoftLimit + 1, 100, random);
  const TenantStatistics burst = limiter.statistics(100);
  EXPECT_NEAR(burst.suppression_factor, 1 - burst.rate_limit / 70, 1e-9)
      << "from the rate of the last second";
  EXPECT_NEAR(limiter.statistics(102).suppression_factor, 1 - burst.rate_limit / 17.5, 1e-9)
      << "from the rate of the window";
  const int admitted = count_admitted(limiter, 1000, 100, random);
  EXPECT_NEAR(admitted, 1000 * (1 - burst.suppression_factor), 50);
}

TEST(TenantRateLimiter, FromTheHardLimitOnAllRequestsAreRejected) {
  TenantRateLimiter limiter = limiter_of();
  RandomSource random(1);
  count_admitted(limiter, kRequestsAtHardLimit, 100, random);
  EXPECT_EQ(limiter.statistics(100).suppression_factor, 1);
  EXPECT_EQ(count_admitted(limiter, 500, 100.5, random), 0);
}

TEST(TenantRateLimiter, WithoutAQuotaAllRequestsAreAdmittedAndNoLimitIsLearned) {
  TenantRateLimiter limiter({}, basic_settings());
  RandomSource random(1);
  EXPECT_EQ(count_admitted(limiter, 10000, 100, random), 10000);
  limiter.on_failure();
  EXPECT_EQ(limiter.statistics(100).rate_limit, kInfinity);
}

TEST(TenantRateLimiter, FailuresLowerTheRateLimitInBoundedStepsDownToItsFloor) {
  TenantRateLimiter limiter = limiter_of();
  const double before = limiter.statistics(100).rate_limit;
  limiter.on_failure();
  EXPECT_NEAR(limiter.statistics(100).rate_limit, before - 0.4, 1e-9);
  for (int i = 0; i < 100; ++i) limiter.on_failure();
  EXPECT_EQ(limiter.statistics(100).rate_limit, kQuota);
}

TEST(TenantRateLimiter, SuccessesRaiseTheRateLimitOnlyWhileItIsUsed) {
  TenantRateLimiter limiter = limiter_of();
  RandomSource random(1);
  const double before = limiter.statistics(100).rate_limit;
  limiter.on_success(100);
  EXPECT_EQ(limiter.statistics(100).rate_limit, before);
  count_admitted(limiter, 40, 100, random);
  limiter.on_success(100);
  EXPECT_NEAR(limiter.statistics(100).rate_limit, before + 0.1, 1e-9);
}

TEST(TenantRateLimiter, RequestsAreWithinQuotaUntilTheWindowHoldsTheQuota) {
  TenantRateLimiter limiter = limiter_of(0.5);
  TenantRateLimiter inner_tier = limiter_of(0.5, 1);
  RandomSource random(1);
  count_admitted(limiter, 40, 100, random);
  EXPECT_TRUE(limiter.is_within_quota(100));
  count_admitted(limiter, 1, 100, random);
  EXPECT_FALSE(limiter.is_within_quota(100));
  EXPECT_FALSE(inner_tier.is_within_quota(100));
}

TEST(TenantTable, ReplacedSettingsKeepTheRateLimitOfATenantOfTheSameName) {
  Settings settings = basic_settings();
  settings.tenants = {{kQuota, "kept"}, {kQuota, "old"}};
  TenantTable tenants;
  tenants.replace(settings);
  for (std::size_t tenant : {0U, 1U}) tenants.at(tenant)->on_failure();
  settings.tenants = {{kQuota, "new"}, {kQuota, "kept"}};
  tenants.replace(settings);
  EXPECT_LT(tenants.at(1)->statistics(0).rate_limit, tenants.at(0)->statistics(0).rate_limit);
  EXPECT_EQ(tenants.at(99)->statistics(0).rate_limit, kInfinity) << "traffic without a tenant";
}

TEST(LoadSheddingLog, ReportsTheRejectionsOfAPeriodInOneLine) {
  LoadSheddingLog log;
  EXPECT_FALSE(log.record_rejection(100, ShedReason::kThrottled));
  EXPECT_FALSE(log.record_rejection(109.9, ShedReason::kNoCapacity));
  EXPECT_EQ(log.record_rejection(110, ShedReason::kThrottled),
            "load shedding: 2 over their tenant's rate limit, 1 without a server with capacity");
  EXPECT_FALSE(log.record_rejection(110.1, ShedReason::kThrottled));
}

}  // namespace
}  // namespace nettleyoke
