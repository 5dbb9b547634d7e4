/// @file
/// Servers that an operator disables and enables again, and the count of unavailable servers.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// Sends `requests` requests, one each `step` seconds, and lets each attempt succeed. Returns the server of
// each attempt.
std::multiset<std::string> servers_used(ReplicaUnderTest& replica, int requests, const std::string& tag,
                                        double step = 0.01) {
  std::multiset<std::string> servers;
  for (int i = 0; i < requests; ++i) {
    replica.now += step;
    const std::string id = tag + std::to_string(i);
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id))) {
      servers.insert(attempt.server);
      replica.end_attempt(id, Outcome::kSucceeded, 0, 0.05);
    }
  }
  return servers;
}

TEST(ServerAdminState, DisabledServerGetsNoRequestWhateverDiscoveryReports) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  EXPECT_TRUE(servers_used(replica, 100, "before").contains("s1"));
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  EXPECT_FALSE(servers_used(replica, 100, "out").contains("s1"));
  replica.at(replica.now, members(3));  // the full list again
  EXPECT_FALSE(servers_used(replica, 100, "listed").contains("s1"));
  MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
  change.servers[0].state = ServerState::kRemoved;
  replica.at(replica.now, change);
  change.servers[0].state = ServerState::kReady;
  change.servers[0].started = replica.now;  // it is listed again as a new process
  replica.at(replica.now, change);
  const auto after = servers_used(replica, 100, "again");
  EXPECT_FALSE(after.contains("s1"));
  EXPECT_EQ(after.size(), 100U) << "the other servers serve all requests";
}

TEST(ServerAdminState, EnablingOnceUndoesDisablingTwice) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 1U);
  replica.at(replica.now, ServerAdminStateChanged{"s1", true});
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 0U);
  EXPECT_TRUE(servers_used(replica, 100, "back").contains("s1"));
}

// Discovery may not report the restart, and a server in slow start that is treated as warm is overloaded.
TEST(ServerAdminState, EnabledServerIsInSlowStart) {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.3;
  settings.slow_start_duration = 8;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(3));
  servers_used(replica, 300, "before");
  replica.at(replica.now, ServerAdminStateChanged{"s1", false});
  servers_used(replica, 100, "out");
  replica.at(replica.now, ServerAdminStateChanged{"s1", true});
  const auto back = servers_used(replica, 200, "back");  // 2 s
  const auto fraction = static_cast<double>(back.count("s1")) / static_cast<double>(back.size());
  EXPECT_GT(fraction, 0.02);
  EXPECT_LT(fraction, 0.20) << "after slow start, its share is a third";
}

// If the slow start of such a server began when it is enabled, the server would get less than its capacity
// and the other servers more than their share.
TEST(ServerAdminState, SlowStartOfAServerThatRestartedWhileDisabledBeginsAtTheRestart) {
  const auto requests_after_enabling = [](double started, double disabled_at) {
    Settings settings = basic_settings();
    settings.initial_capacity = 0.1;
    settings.slow_start_duration = 8;
    ReplicaUnderTest replica(settings);
    replica.at(0, members(3));
    servers_used(replica, 300, "before");
    replica.at(disabled_at, ServerAdminStateChanged{"s1", false});
    MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
    change.servers[0].started = started;
    replica.at(20, change);
    servers_used(replica, 100, "out");
    replica.at(replica.now, ServerAdminStateChanged{"s1", true});
    return servers_used(replica, 200, "back").count("s1");
  };
  const auto before_disabling =
      requests_after_enabling(3.5, 4);  // discovery reports no restart since s1 was disabled
  const auto while_disabled =
      requests_after_enabling(15, 4);  // 6 s before s1 is enabled: 6 of the 8 s of its slow start
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

// A server can be disabled before it is first listed, for example when the node starts.
TEST(ServerAdminState, ServerDisabledBeforeItIsListedGetsNoRequest) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, ServerAdminStateChanged{"s1", false});
  replica.at(0, members(2));
  EXPECT_FALSE(servers_used(replica, 50, "r").contains("s1"));
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 1U);
}

TEST(ServerAdminState, AttemptInFlightAtADisabledServerMaySucceed) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(1));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  replica.at(replica.now, ServerAdminStateChanged{"s0", false});
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded).empty());
  replica.at(replica.now, ServerAdminStateChanged{"s0", true});
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("r2")).size(), 1U);
}

TEST(UnavailableServers, FailingServerIsCountedWhileItIsEjected) {
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
