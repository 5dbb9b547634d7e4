/// @file
/// Admission of tenants' requests: suppression factor, sliding window and learned rate limit.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

TEST(SuppressionFactor, IsTheFractionOfTheHigherRateAboveTheLimit) {
  EXPECT_NEAR(suppression_factor(10, 14, 14), 0.286, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 11.67, 12), 0.167, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 13.33, 15), 0.333, 0.0005);
}

TEST(SuppressionFactor, UsesTheHigherRateAndStaysInRange) {
  EXPECT_DOUBLE_EQ(suppression_factor(10, 20, 5), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 20), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 5), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 0, 0), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(std::numeric_limits<double>::infinity(), 5, 5), 0);
}

Settings one_tenant(double quota) {
  Settings settings = basic_settings();
  settings.tenants = {{quota}};
  return settings;
}

// Sends requests at a steady rate and ends each attempt at once: the first of a request with `outcome`, a
// retry with success. Returns the number of admitted requests.
int send_requests(ReplicaUnderTest& replica, double from, double seconds, double rate,
                  const std::string& prefix, Outcome outcome = Outcome::kSucceeded) {
  int admitted = 0;
  const int requests = static_cast<int>(seconds * rate);
  for (int i = 0; i < requests; ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    if (actions_of<StartAttempt>(replica.request(id)).empty()) continue;
    ++admitted;
    const auto actions = replica.end_attempt(id, outcome);
    for (const StartAttempt& retry : actions_of<StartAttempt>(actions))
      replica.end_attempt(retry.id, Outcome::kSucceeded, 1);
  }
  return admitted;
}

TEST(Admission, BelowTheRateLimitAllRequestsAreAdmitted) {
  ReplicaUnderTest replica(one_tenant(100));
  replica.at(0, members(4));
  EXPECT_EQ(send_requests(replica, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(replica.now, 0).suppression_factor, 0);
}

TEST(Admission, RequestsAboveTheRateLimitAreRejected) {
  Settings settings = one_tenant(10);
  settings.over_quota_weight = 0;  // the rate limit does not rise above its initial value
  ReplicaUnderTest replica(settings);
  replica.at(0, members(4));
  const double limit = replica.balancer.tenant_statistics(0, 0).rate_limit;
  const int admitted = send_requests(replica, 0, 8, 4 * limit, "a");
  const TenantStatistics statistics = replica.balancer.tenant_statistics(replica.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(statistics.suppression_factor, 1 - statistics.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(statistics.rejected, 0);
}

// Servers can fail at any load, so their failures must not limit tenants to a fraction of their quota.
TEST(Admission, ServerErrorsAndBrokenResponsesDoNotLowerTheRateLimit) {
  for (const Outcome outcome : {Outcome::kServerError, Outcome::kUnknown, Outcome::kReset}) {
    ReplicaUnderTest replica(one_tenant(10));
    replica.at(0, members(4));
    const double limit = replica.balancer.tenant_statistics(0, 0).rate_limit;
    send_requests(replica, 0, 4, 5, "a", outcome);
    EXPECT_GE(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, limit);
  }
}

TEST(Admission, RateLimitNeverFallsBelowTheQuota) {
  ReplicaUnderTest replica(one_tenant(10));
  replica.at(0, members(4));
  send_requests(replica, 0, 20, 9, "a", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, 10);
}

// A tenant that far exceeds its quota can use all capacity. Requests of another tenant within its quota must
// still be sent.
TEST(Admission, TenantWithinItsQuotaIsAdmittedWhileAnotherUsesAllCapacity) {
  Settings settings = basic_settings();
  settings.tenants = {{2.0}, {2.0}};
  settings.over_quota_weight = 0.05;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(6));
  replica.now = 30;  // the extra capacity at the start has expired
  const auto count_attempts = [&](const std::string& prefix, std::size_t tenant, int requests) {
    std::size_t attempts = 0;
    for (int i = 0; i < requests; ++i)
      attempts += actions_of<StartAttempt>(replica.request(prefix + std::to_string(i), tenant)).size();
    return attempts;
  };
  EXPECT_GT(count_attempts("flood", 0, 14), 8U) << "more than its quota in the window";
  EXPECT_EQ(count_attempts("more", 0, 3), 0U) << "all capacity is in use";
  EXPECT_GT(count_attempts("within", 1, 3), 0U);
}

TEST(Admission, AtTheHardLimitAllRequestsAreRejected) {
  ReplicaUnderTest replica(one_tenant(10));
  replica.at(0, members(4));
  const double limit = replica.balancer.tenant_statistics(0, 0).rate_limit;
  const double requests = 400 * limit;  // all within 1 s
  int late_admissions = 0;
  for (int i = 0; i < static_cast<int>(requests); ++i) {
    replica.now = i / requests;
    const bool admitted = !actions_of<StartAttempt>(replica.request("r" + std::to_string(i))).empty();
    if (i > requests * 0.9 && admitted) ++late_admissions;
  }
  EXPECT_EQ(late_admissions, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(replica.now, 0).suppression_factor, 1);
}

TEST(Admission, RequestsLeaveTheSlidingWindow) {
  ReplicaUnderTest replica(one_tenant(10));
  replica.at(0, members(4));
  for (int i = 0; i < 500; ++i) replica.request("r" + std::to_string(i));
  EXPECT_GT(replica.balancer.tenant_statistics(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(3.85, 0).total, 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(4.15, 0).total, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(4.15, 0).suppression_factor, 0);
}

// The factor is cached for 100 ms: during that time, a burst of requests is rejected with the earlier factor.
TEST(Admission, SuppressionFactorIsCached) {
  Settings settings = one_tenant(100);
  settings.over_quota_weight = 0;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(4));
  const double limit = replica.balancer.tenant_statistics(0, 0).rate_limit;
  const int soft_limit = static_cast<int>(std::ceil(4 * limit));  // the window is 4 s long
  const auto count_admitted = [&](double time, int requests, const std::string& prefix) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      replica.now = time;
      const std::string id = prefix + std::to_string(i);
      if (actions_of<StartAttempt>(replica.request(id)).empty()) continue;
      ++admitted;
      replica.end_attempt(id, Outcome::kSucceeded);
    }
    return admitted;
  };
  EXPECT_EQ(count_admitted(0, soft_limit, "fill"), soft_limit);
  // The cached factor, from the start of the burst, is three quarters.
  EXPECT_NEAR(count_admitted(0.01, 1000, "cached"), 250, 60);
  const double factor = replica.balancer.tenant_statistics(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(count_admitted(0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(Admission, RequestOverTheRateLimitIsRejectedWithoutAnAttempt) {
  ReplicaUnderTest replica(one_tenant(10));
  replica.at(0, members(4));
  int rejected = 0;
  for (int i = 0; i < 900; ++i) {
    replica.now = 0.001 * i;
    const auto actions = replica.request("r" + std::to_string(i));
    EXPECT_EQ(actions_of<Reject>(actions).size() + actions_of<StartAttempt>(actions).size(), 1U);
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    if (!actions_of<StartAttempt>(actions).empty())
      replica.end_attempt("r" + std::to_string(i), Outcome::kSucceeded);
  }
  EXPECT_GT(rejected, 300);
  EXPECT_EQ(replica.balancer.tenant_statistics(replica.now, 0).rejected, rejected);
}

TEST(RateLimit, RisesWhileRequestsSucceedInTime) {
  ReplicaUnderTest replica(one_tenant(10));
  replica.at(0, members(4));
  const double before = replica.balancer.tenant_statistics(0, 0).rate_limit;
  send_requests(replica, 0, 10, before * 0.9, "a");
  EXPECT_GT(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, before);
  EXPECT_LT(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, before * 2);
}

TEST(RateLimit, FallsWithServerRejectionsDownToAFloor) {
  ReplicaUnderTest replica(one_tenant(100));
  replica.at(0, members(4));
  send_requests(replica, 0, 40, 120, "up");
  const double before = replica.balancer.tenant_statistics(replica.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  send_requests(replica, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, before);
  send_requests(replica, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, 25)
      << "a quarter of this replica's share of the quota";
}

// Requests that end within a feedback delay after a change of the limit were admitted under the previous
// limit. They are no evidence about the new one, so a second of rejections must not lower it too far.
TEST(RateLimit, FallsByAFractionInOneSecondOfRejections) {
  ReplicaUnderTest replica(one_tenant(100));
  replica.at(0, members(4));
  const double before = replica.balancer.tenant_statistics(replica.now, 0).rate_limit;
  send_requests(replica, 0, 1, before, "a", Outcome::kRejected);
  const double after = replica.balancer.tenant_statistics(replica.now, 0).rate_limit;
  EXPECT_LT(after, before * 0.9);
  EXPECT_GT(after, before * 0.5);
}

// If all servers slow down together, lowering the rate limits of all tenants to the same floor would leave
// servers idle.
TEST(RateLimit, SlowResponsesDoNotLowerIt) {
  ReplicaUnderTest replica(one_tenant(100));
  replica.at(0, members(4));
  const double before = replica.balancer.tenant_statistics(0, 0).rate_limit;
  for (int i = 0; i < 500; ++i) {
    replica.now = i * 0.01;
    const std::string id = std::to_string(i);
    if (!actions_of<StartAttempt>(replica.request(id)).empty())
      replica.end_attempt(id, Outcome::kSucceeded, 0, 1.8);
  }
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, before);
}

}  // namespace
}  // namespace nettleyoke
