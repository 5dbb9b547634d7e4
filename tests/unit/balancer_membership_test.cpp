/// @file
/// Changes of the endpoint list, and when the membership is watched.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// The servers that requests go to, each answered at once.
std::set<std::string> servers_used(ReplicaUnderTest& replica, int calls, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < calls; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id)))
      used.insert(attempt.server);
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  return used;
}

TEST(MembershipChange, DrainingOrRemovedServerGetsNoNewRequest) {
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

TEST(MembershipChange, ServerMissingFromACompleteListIsRemoved) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.at(1, members(2));
  EXPECT_EQ(servers_used(replica, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  replica.at(2, failed);
  EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

// The registry must not grow with every server there ever was: on a long day all of them are replaced again
// and again, and each change walks it.
TEST(MembershipChange, RemovedServersAreForgottenWithTheirLastRequest) {
  ReplicaUnderTest replica(basic_settings());
  constexpr int kListed = 5, kDay = 1000;
  replica.at(0, members(kListed));
  const auto sent = actions_of<StartAttempt>(replica.request("in flight"));
  ASSERT_EQ(sent.size(), 1U);
  for (int i = kListed; i < kDay; ++i) {
    MembershipUpdate change;
    change.form = i % 7 == 0 ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
    if (change.form == MembershipUpdate::Form::kFull) {
      for (int at = i - kListed + 1; at < i; ++at) change.servers.push_back(server(at));
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
      << "those listed, and the one of the request in flight";
  replica.end_attempt("in flight", Outcome::kSucceeded);
  EXPECT_EQ(replica.balancer.server_count(), static_cast<std::size_t>(kListed));
}

TEST(MembershipWatch, IsStartedAtOnceAndAgainAfterFailures) {
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

TEST(MembershipWatch, IsNotStartedWhereChangesArriveByThemselves) {
  ReplicaUnderTest replica(basic_settings());
  EXPECT_TRUE(replica.at(0, Started{}).empty());
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  EXPECT_TRUE(replica.at(0, failed).empty());
}

}  // namespace
}  // namespace nettleyoke
