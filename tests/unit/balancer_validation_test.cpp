/// @file
/// Settings and events that a balancer can't use.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

TEST(SettingsValidation, InvalidFieldIsNamed) {
  const auto message = [](auto change) {
    Settings settings = basic_settings();
    settings.tenants = {{1.0}};
    change(settings);
    try {
      const Balancer balancer(settings, 1);
    } catch (const std::invalid_argument& problem) {
      return std::string(problem.what());
    }
    return std::string("accepted");
  };
  const auto names = [&](auto change, const char* field) {
    EXPECT_NE(message(change).find(field), std::string::npos) << field << ": " << message(change);
  };
  names([](Settings& settings) { settings.replica_count = 0; }, "replica_count");
  names([](Settings& settings) { settings.replica_index = 1; }, "replica_index");
  names([](Settings& settings) { settings.replica_index = -1; }, "replica_index");
  names([](Settings& settings) { settings.clock_granularity = -1; }, "clock_granularity");
  names([](Settings& settings) { settings.tier = -1; }, "tier");
  names([](Settings& settings) { settings.max_attempts = 0; }, "max_attempts");
  names([](Settings& settings) { settings.max_retry_after = -1; }, "max_retry_after");
  names([](Settings& settings) { settings.notification_deadline = -1; }, "notification_deadline");
  names([](Settings& settings) { settings.slow_start_duration = -1; }, "slow_start_duration");
  names([](Settings& settings) { settings.over_quota_weight = -1; }, "over_quota_weight");
  names([](Settings& settings) { settings.initial_capacity = 1.5; }, "initial_capacity");
  names([](Settings& settings) { settings.classes[0].idempotency = static_cast<Idempotency>(9); },
        "idempotency");
  names([](Settings& settings) { settings.classes[0].dedup_scope = static_cast<DedupScope>(9); },
        "dedup_scope");
  names([](Settings& settings) { settings.classes[0].latency_objective = -1; }, "latency_objective");
  names([](Settings& settings) { settings.classes[0].client_timeout = -1; }, "client_timeout");
  names([](Settings& settings) { settings.classes[0].dedup_window = -1; }, "dedup_window");
  names([](Settings& settings) { settings.tenants[0].quota = -1; }, "quota");
  names(
      [](Settings& settings) {
        settings.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN();
      },
      "latency_objective");
  names([](Settings& settings) { settings.classes[0].objective_growth = -1; }, "objective_growth");
  EXPECT_EQ(message([](Settings&) {}), "accepted");
}

TEST(SettingsValidation, NoAmountMayBeNanInfiniteOrNegative) {
  using Change = double& (*)(Settings&);
  const std::pair<Change, const char*> amounts[] = {
      {[](Settings& settings) -> double& { return settings.clock_granularity; }, "clock_granularity"},
      {[](Settings& settings) -> double& { return settings.max_retry_after; }, "max_retry_after"},
      {[](Settings& settings) -> double& { return settings.notification_deadline; }, "notification_deadline"},
      {[](Settings& settings) -> double& { return settings.slow_start_duration; }, "slow_start_duration"},
      {[](Settings& settings) -> double& { return settings.initial_capacity; }, "initial_capacity"},
      {[](Settings& settings) -> double& { return settings.overload_threshold; }, "overload_threshold"},
      {[](Settings& settings) -> double& { return settings.over_quota_weight; }, "over_quota_weight"},
      {[](Settings& settings) -> double& { return settings.cross_zone_cost; }, "cross_zone_cost"},
      {[](Settings& settings) -> double& { return settings.classes[0].latency_objective; },
       "latency_objective"},
      {[](Settings& settings) -> double& { return settings.classes[0].objective_growth; },
       "objective_growth"},
      {[](Settings& settings) -> double& { return settings.classes[0].client_timeout; }, "client_timeout"},
      {[](Settings& settings) -> double& { return settings.classes[0].late_value; }, "late_value"},
      {[](Settings& settings) -> double& { return settings.classes[0].dedup_window; }, "dedup_window"},
      {[](Settings& settings) -> double& { return *settings.tenants[0].quota; }, "quota"}};
  for (const auto& [field, name] : amounts) {
    for (const double value : {std::nan(""), HUGE_VAL, -HUGE_VAL, -1.0}) {
      Settings settings = basic_settings();
      settings.tenants = {{1.0}};
      field(settings) = value;
      try {
        const Balancer balancer(settings, 1);
        ADD_FAILURE() << name << " accepted " << value;
      } catch (const std::invalid_argument& problem) {
        EXPECT_NE(std::string(problem.what()).find(name), std::string::npos) << problem.what();
      }
    }
  }
}

TEST(EventValidation, IdOfARequestInFlightIsIgnored) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  EXPECT_TRUE(replica.request("r").empty());
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded).empty());
}

TEST(EventValidation, NumbersOutOfRangeAreHarmless) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSucceeded, 9).empty());
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSucceeded, -1).empty());
  EXPECT_TRUE(replica.end_attempt("never", Outcome::kSucceeded).empty());
  EXPECT_TRUE(replica.at(0, TimerFired{12345}).empty());
  EXPECT_TRUE(replica.at(0, RequestCancelled{"never"}).empty());
  EXPECT_GE(replica.balancer.tenant_statistics(0, 1234).rate_limit, 0);
}

}  // namespace
}  // namespace nettleyoke
