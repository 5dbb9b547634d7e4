/// @file
/// Unit tests of the state of a server: outlier detection, slow start, capacity, relative latency.
#include <gtest/gtest.h>

#include "balancer_harness.h"
#include "capacity/concurrency_limits.h"
#include "health/outlier_detection.h"
#include "health/slow_start.h"
#include "selection/relative_latency.h"

namespace nettleyoke {
namespace {

Settings slow_start_settings() {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = 10;
  return settings;
}

SlowStartPolicy policy_of(const Settings& settings) {
  SlowStartPolicy policy;
  policy.configure(settings);
  return policy;
}

TEST(OutlierDetection, TwoFailuresEjectAServerUntilTheyDecay) {
  OutlierDetection outlier;
  outlier.record(100, false);
  EXPECT_FALSE(outlier.is_ejected(100));
  outlier.record(100, false);
  EXPECT_TRUE(outlier.is_ejected(100));
  EXPECT_NEAR(outlier.failure_rate(106), 0.51 / 2, 1e-9)
      << "the half-life is 2 s times (1 + 2 consecutive failures)";
  EXPECT_FALSE(outlier.is_ejected(106));
  EXPECT_EQ(outlier.failure_rate(130), 0);
}

TEST(OutlierDetection, ASuccessAfterFailuresMakesThemDecayFaster) {
  OutlierDetection failing;
  for (int i = 0; i < 4; ++i) failing.record(100, false);
  OutlierDetection recovering = failing;
  recovering.record(100, true);
  EXPECT_LT(recovering.failure_rate(102) / recovering.failure_rate(100),
            failing.failure_rate(102) / failing.failure_rate(100));
}

TEST(OutlierDetection, AnOutcomeWithoutWeightChangesNothing) {
  OutlierDetection outlier;
  outlier.record(100, false, 0);
  EXPECT_EQ(outlier.failure_rate(100), 0);
}

TEST(SlowStart, TheFactorRisesFromTheInitialCapacityToOne) {
  const SlowStartPolicy policy = policy_of(slow_start_settings());
  const SlowStart server;
  EXPECT_DOUBLE_EQ(policy.factor(100, server, 100), 0.2);
  EXPECT_DOUBLE_EQ(policy.factor(105, server, 100), 0.6);
  EXPECT_EQ(policy.factor(120, server, 100), 1);
  EXPECT_EQ(policy.factor(100, server, 0), 1) << "started long ago";
}

TEST(SlowStart, AnEnabledServerWarmsUpFromItsRestartOrElseFromItsEnabling) {
  const SlowStartPolicy policy = policy_of(slow_start_settings());
  SlowStart server;
  server.on_disabled(90);
  server.on_enabled(100);
  EXPECT_DOUBLE_EQ(policy.factor(100, server, 95), 0.6) << "restarted while disabled";
  EXPECT_DOUBLE_EQ(policy.factor(100, server, 80), 0.2) << "no restart is advertised";
  EXPECT_DOUBLE_EQ(policy.factor(100, server, 0), 0.2);
}

// The number of attempts that a server with a quarter of 20 requests/s gets in its first 4 s.
int attempts_while_warming(double overload_threshold) {
  Settings settings = slow_start_settings();
  settings.overload_threshold = overload_threshold;
  SlowStartPolicy policy = policy_of(settings);
  SlowStart server;
  server.begin_incarnation(100, 0);
  server.set_traffic_share(0.25);
  int attempts = 0;
  for (int i = -400; i < 80; ++i) {
    const double now = 100 + i * 0.05;
    policy.record_admitted(now);
    if (i < 0 || !policy.has_token(now, server, 100)) continue;
    server.take_token();
    ++attempts;
  }
  return attempts;
}

TEST(SlowStart, TheTokenBucketLimitsAWarmingServerToItsShareTimesTheFactor) {
  EXPECT_NEAR(attempts_while_warming(0), 4 * 5 * 0.36, 1);  // the mean factor is 0.36
  EXPECT_NEAR(attempts_while_warming(1), 4 * 5 * 0.36 / 2, 1) << "at most half of the overload threshold";
}

TEST(SlowStart, AServerThatHasWarmedUpNeedsNoTokens) {
  const SlowStartPolicy policy = policy_of(slow_start_settings());
  SlowStart server;
  server.begin_incarnation(100, 0);
  EXPECT_FALSE(policy.has_token(105, server, 100))
      << "a server in slow start without a traffic share gets no token";
  EXPECT_TRUE(policy.has_token(110, server, 100));
}

TEST(IdleLatency, IsLearnedAfterEnoughResponsesAndTimeAndDoesNotRiseToQueueingLatency) {
  IdleLatency idle;
  for (int i = 0; i < 30; ++i) idle.add(100, 0.1);
  EXPECT_FALSE(idle.is_learned()) << "no time has passed";
  idle.add(103.1, 0.1);
  EXPECT_TRUE(idle.is_learned());
  EXPECT_NEAR(idle.ratio(), 0.1, 0.005);
  for (int i = 0; i < 1000; ++i) idle.add(104 + i, 0.9);
  EXPECT_EQ(idle.ratio(), 0.3);
}

TEST(ServerConcurrencyLimit, TheCapacityOfAnUnmeasuredServerDecaysAndIsSharedByReplicas) {
  const ServerConcurrencyLimit limit(100);
  const SubsetShape alone{1, 1};
  EXPECT_TRUE(limit.has_capacity(100, 7, 0.1, alone, false));
  EXPECT_FALSE(limit.has_capacity(100, 8, 0.1, alone, false));
  EXPECT_TRUE(limit.has_capacity(100, 10, 0.1, alone, true))
      << "requests within the quota may use 1.3 times the capacity";
  EXPECT_FALSE(limit.has_capacity(130, 3, 0.1, alone, false));
  EXPECT_TRUE(limit.has_capacity(130, 0, 0.1, {1, 100}, false))
      << "each replica may have one attempt in flight";
  EXPECT_FALSE(limit.has_capacity(130, 1, 0.1, {1, 100}, false));
}

TEST(ServerConcurrencyLimit, BecomesSlowOnceAndRecoversBelowALowerThreshold) {
  ServerConcurrencyLimit limit;
  for (int i = 0; i < 50; ++i) {
    limit.record_response(100 + i * 0.1, 0.1);
    limit.record_recent_latency(0.1);
  }
  ASSERT_TRUE(limit.is_measured());
  EXPECT_FALSE(limit.update_slow_state());
  for (int i = 0; i < 20; ++i) limit.record_recent_latency(0.3);
  EXPECT_TRUE(limit.update_slow_state());
  EXPECT_FALSE(limit.update_slow_state()) << "it is slow already";
  for (int i = 0; i < 4; ++i) limit.record_recent_latency(0.1);
  EXPECT_TRUE(limit.is_slower_than_idle());
  EXPECT_FALSE(limit.update_slow_state());
}

TEST(TierConcurrencyLimit, OnlyTheFirstTierIsLimitedAndUsesRandomNumbers) {
  Settings settings = basic_settings();
  TierConcurrencyLimit first;
  first.configure(settings);
  settings.tier = 1;
  TierConcurrencyLimit second;
  second.configure(settings);
  for (TierConcurrencyLimit* limit : {&first, &second}) {
    limit->record_membership_update(0);
    for (int i = 0; i < 10; ++i) limit->add_in_flight();
  }
  RandomSource random(1);
  EXPECT_TRUE(second.has_capacity(100, {1, 1}, false, random));
  EXPECT_EQ(RandomSource(random).next(), RandomSource(1).next());
  EXPECT_FALSE(first.has_capacity(100, {1, 1}, false, random))
      << "the limit is 2 attempts for the server and a burst allowance of 2";
  EXPECT_TRUE(first.has_capacity(100, {20, 1}, false, random))
      << "the limit is 2 attempts for each of 20 servers and the burst allowance";
}

TEST(OverloadBound, IsLoweredBelowTheAttemptsInFlightAndRisesAgain) {
  OverloadBound bound;
  EXPECT_EQ(bound.at(100), kInfinity);
  EXPECT_DOUBLE_EQ(bound.lower(100, 20), 18);
  EXPECT_FALSE(bound.may_lower(101));
  EXPECT_TRUE(bound.may_lower(102.1));
  EXPECT_NEAR(bound.at(140), 18 * 2.71828, 0.01);
  EXPECT_EQ(bound.lower(200, 0), 1) << "a bound of 0 would reject all requests forever";
}

TEST(SlowServerCount, IsAnOverloadIfHalfOfTheMeasuredServersAreSlow) {
  SlowServerCount count;
  count.add(true);
  count.add(false);
  EXPECT_TRUE(count.is_overload());
  count.add(false);
  EXPECT_FALSE(count.is_overload());
}

TEST(RelativeLatency, RisesWithSlowResponsesAndDecaysToOne) {
  RelativeLatency latency;
  InFlightLoad in_flight;
  for (int i = 0; i < 20; ++i) latency.record(100, 3);
  EXPECT_NEAR(latency.at(100, in_flight, 1), 3, 0.1);
  EXPECT_NEAR(latency.at(110, in_flight, 1), 2, 0.1);
  EXPECT_EQ(latency.at(120, in_flight, 1), 1);
  in_flight.add(115);
  EXPECT_EQ(latency.at(125, in_flight, 2), 5) << "from the age of the attempt in flight";
}

}  // namespace
}  // namespace nettleyoke
