/// @file
/// Settings that a balancer rejects, and events that it ignores or tolerates.
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
  const auto error_message = [](auto change) {
    Settings settings = basic_settings();
    settings.tenants = {{1.0}};
    change(settings);
    try {
      const Balancer balancer(settings, 1);
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string("accepted");
  };
  const auto expect_named = [&](auto change, const char* field) {
    EXPECT_NE(error_message(change).find(field), std::string::npos) << field << ": " << error_message(change);
  };
  expect_named([](Settings& settings) { settings.replica_count = 0; }, "replica_count");
  expect_named([](Settings& settings) { settings.replica_index = 1; }, "replica_index");
  expect_named([](Settings& settings) { settings.replica_index = -1; }, "replica_index");
  expect_named([](Settings& settings) { settings.clock_granularity = -1; }, "clock_granularity");
  expect_named([](Settings& settings) { settings.tier = -1; }, "tier");
  expect_named([](Settings& settings) { settings.max_attempts = 0; }, "max_attempts");
  expect_named([](Settings& settings) { settings.max_retry_after = -1; }, "max_retry_after");
  expect_named([](Settings& settings) { settings.notification_deadline = -1; }, "notification_deadline");
  expect_named([](Settings& settings) { settings.slow_start_duration = -1; }, "slow_start_duration");
  expect_named([](Settings& settings) { settings.over_quota_weight = -1; }, "over_quota_weight");
  expect_named([](Settings& settings) { settings.initial_capacity = 1.5; }, "initial_capacity");
  expect_named([](Settings& settings) { settings.classes[0].idempotency = static_cast<Idempotency>(9); },
               "idempotency");
  expect_named([](Settings& settings) { settings.classes[0].dedup_scope = static_cast<DedupScope>(9); },
               "dedup_scope");
  expect_named([](Settings& settings) { settings.classes[0].latency_objective = -1; }, "latency_objective");
  expect_named([](Settings& settings) { settings.classes[0].client_timeout = -1; }, "client_timeout");
  expect_named([](Settings& settings) { settings.classes[0].dedup_window = -1; }, "dedup_window");
  expect_named([](Settings& settings) { settings.tenants[0].quota = -1; }, "quota");
  expect_named(
      [](Settings& settings) {
        settings.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN();
      },
      "latency_objective");
  expect_named([](Settings& settings) { settings.classes[0].objective_growth = -1; }, "objective_growth");
  EXPECT_EQ(error_message([](Settings&) {}), "accepted");
}

TEST(SettingsValidation, NanInfiniteOrNegativeAmountIsRejected) {
  using FieldAccess = double& (*)(Settings&);
  const std::pair<FieldAccess, const char*> amounts[] = {
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
      } catch (const std::invalid_argument& error) {
        EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
      }
    }
  }
}

TEST(EventValidation, RequestWithTheIdOfAnOpenRequestIsIgnored) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  EXPECT_TRUE(replica.request("r").empty());
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded).empty());
}

TEST(EventValidation, UnknownIdsAndIndexesOutOfRangeAreHarmless) {
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
