/// @file
/// Settings that are replaced while requests are in flight.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

Settings named_settings(int max_attempts) {
  Settings settings = basic_settings();
  settings.classes[0].name = "read";
  settings.max_attempts = max_attempts;
  Tenant tenant;
  tenant.quota = 5;
  tenant.name = "acme";
  settings.tenants = {tenant};
  return settings;
}

TEST(SettingsReplacement, RequestInFlightKeepsItsClassSettings) {
  ReplicaUnderTest replica(named_settings(3));
  replica.at(0, members(4));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("before")).size(), 1U);
  Settings next = named_settings(1);
  next.classes[0].idempotency = Idempotency::kNonIdempotent;
  replica.at(replica.now, SettingsReplaced{next});
  EXPECT_EQ(actions_of<StartAttempt>(replica.end_attempt("before", Outcome::kReset)).size(), 1U)
      << "still idempotent, with three attempts";
  EXPECT_EQ(actions_of<StartAttempt>(replica.end_attempt("before", Outcome::kReset, 1)).size(), 1U);
  EXPECT_TRUE(actions_of<StartAttempt>(replica.end_attempt("before", Outcome::kReset, 2)).empty());
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("after")).size(), 1U);
  EXPECT_EQ(actions_of<Fail>(replica.end_attempt("after", Outcome::kReset)).size(), 1U)
      << "non-idempotent, with one attempt";
}

TEST(SettingsReplacement, RequestOfARemovedClassIsRetriedAndSucceeds) {
  Settings with_two_classes = named_settings(3);
  with_two_classes.classes.push_back(class_of(Idempotency::kIdempotencyKey));
  with_two_classes.classes[1].name = "write";
  ReplicaUnderTest replica(with_two_classes);
  replica.at(0, members(4));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r", 0, 1)).size(), 1U);
  replica.at(replica.now, SettingsReplaced{named_settings(3)});
  EXPECT_EQ(actions_of<StartAttempt>(replica.end_attempt("r", Outcome::kReset)).size(), 1U);
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded, 1).empty());
}

TEST(SettingsReplacement, LearnedRateLimitIsKeptForTheTenantOfTheSameName) {
  ReplicaUnderTest replica(named_settings(3));
  replica.at(0, members(4));
  // All requests succeed within the latency objective, so the rate limit rises.
  for (int i = 0; i < 4000; ++i) {
    replica.now += 0.01;
    const std::string id = "r" + std::to_string(i);
    if (!actions_of<StartAttempt>(replica.request(id)).empty()) {
      replica.end_attempt(id, Outcome::kSucceeded, 0, 0.05);
    }
  }
  const double learned = replica.balancer.tenant_statistics(replica.now, 0).rate_limit;
  Settings next = named_settings(3);
  Tenant other;
  other.quota = 5;
  other.name = "other";
  next.tenants.insert(next.tenants.begin(), other);
  ASSERT_GT(learned, ReplicaUnderTest(next).balancer.tenant_statistics(0, 0).rate_limit);
  replica.at(replica.now, SettingsReplaced{next});
  EXPECT_EQ(replica.balancer.tenant_statistics(replica.now, 1).rate_limit, learned);
  EXPECT_LT(replica.balancer.tenant_statistics(replica.now, 0).rate_limit, learned)
      << "a new tenant starts from its own quota";
}

TEST(SettingsReplacement, InvalidSettingsAreRejectedAndChangeNothing) {
  ReplicaUnderTest replica(named_settings(3));
  replica.at(0, members(4));
  Settings invalid = named_settings(1);
  invalid.classes[0].client_timeout = 0;
  std::vector<Action> actions;
  EXPECT_THROW(replica.balancer.handle(replica.now, SettingsReplaced{invalid}, actions),
               std::invalid_argument);
  EXPECT_TRUE(actions.empty());
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  EXPECT_EQ(actions_of<StartAttempt>(replica.end_attempt("r", Outcome::kReset)).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
