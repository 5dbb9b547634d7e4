/// @file
/// Changes of the membership, and when the membership is watched.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// Sends requests that succeed at once; returns the servers that received them.
std::set<std::string> servers_used(ReplicaUnderTest& replica, int requests, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < requests; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id)))
      used.insert(attempt.server);
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  return used;
}

TEST(MembershipChange, DrainingOrRemovedServerReceivesNoNewRequest) {
  for (const ServerState state : {ServerState::kDraining, ServerState::kRemoved}) {
    ReplicaUnderTest replica(basic_settings());
    replica.at(0, members(3));
    EXPECT_EQ(servers_used(replica, 50, "a").size(), 3U);
    MembershipUpdate change;
    change.form = MembershipUpdate::Form::kChanges;
    change.servers = {server(1)};
    change.servers[0].state = state;
    replica.at(1, change);
    EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s2"}));
    change.servers[0].state = ServerState::kReady;
    replica.at(2, change);
    EXPECT_EQ(servers_used(replica, 50, "c").size(), 3U);
  }
}

TEST(MembershipChange, ServerMissingFromAFullListIsRemoved) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.at(1, members(2));
  EXPECT_EQ(servers_used(replica, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  replica.at(2, failed);
  EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

// The server registry must not keep every server that was ever listed: over a long day, all servers are
// replaced many times, and each change iterates over the registry.
TEST(MembershipChange, RemovedServerIsErasedWhenItsLastRequestEnds) {
  ReplicaUnderTest replica(basic_settings());
  constexpr int kListed = 5, kSteps = 1000;
  replica.at(0, members(kListed));
  const auto attempts = actions_of<StartAttempt>(replica.request("in flight"));
  ASSERT_EQ(attempts.size(), 1U);
  for (int i = kListed; i < kSteps; ++i) {
    MembershipUpdate change;
    change.form = i % 7 == 0 ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
    if (change.form == MembershipUpdate::Form::kFull) {
      for (int number = i - kListed + 1; number < i; ++number) change.servers.push_back(server(number));
    } else {
      change.servers.push_back(server(i - kListed));
      change.servers.back().state = ServerState::kRemoved;
    }
    change.servers.push_back(server(i));
    replica.at(i, change);
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(actions_of<StartAttempt>(replica.request(id)).size(), 1U);
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  EXPECT_EQ(replica.balancer.server_count(), kListed + 1U)
      << "the listed servers and the server of the request in flight";
  replica.end_attempt("in flight", Outcome::kSucceeded);
  EXPECT_EQ(replica.balancer.server_count(), static_cast<std::size_t>(kListed));
}

TEST(MembershipWatch, IsStartedAtOnceAndRestartedAfterFailures) {
  Settings settings = basic_settings();
  settings.must_watch = true;
  settings.notification_deadline = 10;
  ReplicaUnderTest replica(settings);
  EXPECT_EQ(actions_of<WatchMembership>(replica.at(0, Started{})).size(), 1U);
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = actions_of<SetTimer>(replica.at(now, failed));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].due_at, now);
    EXPECT_LE(timers[0].due_at, now + 5) << "within the notification deadline";
    now = timers[0].due_at;
    EXPECT_EQ(actions_of<WatchMembership>(replica.at(now, TimerFired{timers[0].token})).size(), 1U);
  }
}

TEST(MembershipWatch, IsNotStartedIfChangesArriveWithoutAWatch) {
  ReplicaUnderTest replica(basic_settings());
  EXPECT_TRUE(replica.at(0, Started{}).empty());
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  EXPECT_TRUE(replica.at(0, failed).empty());
}

}  // namespace
}  // namespace nettleyoke
