/// @file
/// Servers that operators disable and enable again, and servers that count as unavailable.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// The servers that `calls` requests go to, each answered at once.
std::multiset<std::string> used(ReplicaUnderTest& replica, int calls, const std::string& tag,
                                double step = 0.01) {
  std::multiset<std::string> servers;
  for (int i = 0; i < calls; ++i) {
    replica.now += step;
    const std::string id = tag + std::to_string(i);
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id))) {
      servers.insert(attempt.server);
      replica.end_attempt(id, Outcome::kSucceeded, 0, 0.05);
    }
  }
  return servers;
}

TEST(ServerAdminState, DisabledServerGetsNoRequestWhateverTheListSays) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  EXPECT_TRUE(used(replica, 100, "before").contains("s1"));
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  EXPECT_FALSE(used(replica, 100, "out").contains("s1"));
  replica.at(replica.now, members(3));  // the complete list again
  EXPECT_FALSE(used(replica, 100, "listed").contains("s1"));
  MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
  change.servers[0].state = ServerState::kRemoved;
  replica.at(replica.now, change);
  change.servers[0].state = ServerState::kReady;
  change.servers[0].started = replica.now;  // it comes back as another process
  replica.at(replica.now, change);
  const auto after = used(replica, 100, "again");
  EXPECT_FALSE(after.contains("s1"));
  EXPECT_EQ(after.size(), 100U) << "the others go on serving";
}

TEST(ServerAdminState, EnablingOnceUndoesDisablingTwice) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 1U);
  replica.at(replica.now, ServerAdminStateChanged{"s1", true});
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 0U);
  EXPECT_TRUE(used(replica, 100, "back").contains("s1"));
}

// The list may not tell of the restart, and a server in slow start that is taken for a warm one is
// overloaded.
TEST(ServerAdminState, EnabledServerIsInSlowStart) {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.3;
  settings.slow_start_duration = 8;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(3));
  used(replica, 300, "before");
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  used(replica, 100, "out");
  replica.at(replica.now, ServerAdminStateChanged{"s1", true});
  const auto back = used(replica, 200, "back");  // 2 s
  const auto part = static_cast<double>(back.count("s1")) / static_cast<double>(back.size());
  EXPECT_GT(part, 0.02);
  EXPECT_LT(part, 0.20) << "a third once warmed up";
}

// If it were taken to start when it is enabled, it would get less than it can do and the others more.
TEST(ServerAdminState, EnabledServerThatRestartedWhileDisabledIsAsWarmAsItsAge) {
  const auto requests_after_enabling = [](double started, double disabled_at) {
    Settings settings = basic_settings();
    settings.initial_capacity = 0.1;
    settings.slow_start_duration = 8;
    ReplicaUnderTest replica(settings);
    replica.at(0, members(3));
    used(replica, 300, "before");
    replica.at(disabled_at, ServerAdminStateChanged{"s1", false});
    MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
    change.servers[0].started = started;
    replica.at(20, change);
    used(replica, 100, "out");
    replica.at(replica.now, ServerAdminStateChanged{"s1", true});
    return used(replica, 200, "back").count("s1");
  };
  const auto before_disabling =
      requests_after_enabling(3.5, 4);  // the list knows of no start since it was disabled
  const auto while_disabled = requests_after_enabling(15, 4);  // 6 s ago, 6 of 8 s of its slow start
  EXPECT_GT(while_disabled, 2 * before_disabling);
}

TEST(ServerAdminState, WithAllServersDisabledRequestsAreRejectedWithRetryAfter) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  for (const char* name : {"s0", "s1"}) replica.at(replica.now, ServerAdminStateChanged{name, false});
  const auto rejected = actions_of<Reject>(replica.request("r"));
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_GT(rejected[0].retry_after, 0);
}

// A disabled server must not be used because it is listed only later, as at a start.
TEST(ServerAdminState, DisablingHoldsForAServerThatIsListedLater) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, ServerAdminStateChanged{"s1", false});
  replica.at(0, members(2));
  EXPECT_FALSE(used(replica, 50, "r").contains("s1"));
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 1U);
}

TEST(ServerAdminState, AttemptInFlightAtADisabledServerEndsAsUsual) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(1));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  replica.at(replica.now, ServerAdminStateChanged{"s0", false});
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded).empty());
  replica.at(replica.now, ServerAdminStateChanged{"s0", true});
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("r2")).size(), 1U);
}

TEST(UnavailableServers, FailingServerCountsUntilItRecovers) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(1));
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 0U);
  for (int i = 0; i < 4; ++i) {
    replica.now += 0.01;
    const std::string id = "f" + std::to_string(i);
    auto attempts = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !attempts.empty(); ++attempt)
      attempts = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kReset, attempt));
  }
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 1U);
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now + 60), 0U);
}

}  // namespace
}  // namespace nettleyoke
