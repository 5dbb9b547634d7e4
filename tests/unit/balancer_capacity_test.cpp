/// @file
/// Adaptive concurrency limits of a tier: what a replica has in flight, and when it rejects for that.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"
#include "healthy_traffic.h"

namespace nettleyoke {
namespace {

// Requests to a server that has stopped answering wait for nothing, and behind each other.
TEST(ConcurrencyLimit, BoundsRequestsInFlightAtSilentServers) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(3));
  int sent = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    sent += static_cast<int>(actions_of<StartAttempt>(actions).size());
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
  }
  EXPECT_EQ(sent + rejected, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// What each of many replicas takes for a small start is an overload when all of them start together.
TEST(ConcurrencyLimit, AtTheStartIsSharedByTheReplicas) {
  std::map<std::string, int> in_flight;
  for (int index = 0; index < 8; ++index) {
    Settings settings = settings_with_large_quota();
    settings.replica_index = index;
    settings.replica_count = 8;
    ReplicaUnderTest replica(settings, static_cast<std::uint64_t>(index) + 1);
    replica.at(0, members(10));
    for (int i = 0; i < 100; ++i) {
      for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(std::to_string(i))))
        ++in_flight[attempt.server];
    }
  }
  EXPECT_EQ(in_flight.size(), 10U);
  for (const auto& [address, calls] : in_flight) EXPECT_LE(calls, 16) << address;
}

// At many replicas a server's capacity is a part of a request each; counted strictly, chance would reject.
TEST(ConcurrencyLimit, DoesNotRejectAFewRequestsByChance) {
  Settings settings = settings_with_large_quota();
  settings.replica_count = 500;
  settings.tenants = {{100000.0}};
  ReplicaUnderTest replica(settings);
  replica.at(0, members(100));
  std::map<int, std::string> ends;  // by step
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    replica.now = 10 + i * 0.02;
    if (ends.count(i) != 0) replica.end_attempt(ends[i], Outcome::kSucceeded, 0, 0.4);
    if (i % 25 > 1) continue;  // two calls close together, twice a second
    const std::string id = std::to_string(i);
    const auto actions = replica.request(id);
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    if (!actions_of<StartAttempt>(actions).empty()) ends[i + 20] = id;
  }
  EXPECT_EQ(rejected, 0);
}

// A rejection behind the first tier throws away the work that was done above it.
TEST(ConcurrencyLimit, RejectsNothingBehindTheFirstTier) {
  Settings settings = settings_with_large_quota();
  settings.tier = 1;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(3));
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(actions_of<StartAttempt>(replica.request(std::to_string(i))).size(), 1U);
}

// Sends requests that nobody answers until one is rejected; returns how many attempts started.
int attempts_until_rejected(ReplicaUnderTest& replica, const std::string& prefix) {
  int sent = 0;
  while (!actions_of<StartAttempt>(replica.request(prefix + std::to_string(sent))).empty()) ++sent;
  return sent;
}

// Behind the first tier capacity is a wish; a failing server with capacity must not come before a healthy one
// without.
TEST(ConcurrencyLimit, BehindTheFirstTierDoesNotOutweighEjection) {
  Settings settings = settings_with_large_quota();
  settings.tier = 1;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(4));
  int to_failing = 0;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    const auto attempts = actions_of<StartAttempt>(replica.request(id));
    if (attempts.empty() || attempts[0].server != "s2") continue;  // the others never answer
    to_failing += i >= 50 ? 1 : 0;
    replica.end_attempt(id, Outcome::kServerError);
  }
  EXPECT_LT(to_failing, 40);
}

// Over many replicas, the margin that chance needs at each is an overload; it is given in calm only.
TEST(ConcurrencyLimit, MarginForChanceShrinksWithSlowResponses) {
  const auto capacity_after_responses_of = [](double answer) {
    ReplicaUnderTest replica(settings_with_large_quota());
    replica.at(0, members(20));
    for (int i = 0; i < 200; ++i) {
      replica.now = i * 0.2;
      const std::string id = "a" + std::to_string(i);
      if (!actions_of<StartAttempt>(replica.request(id)).empty())
        replica.end_attempt(id, Outcome::kSucceeded, 0, i < 100 ? 0.4 : answer);
    }
    return attempts_until_rejected(replica, "b");
  };
  EXPECT_GT(capacity_after_responses_of(0.4), capacity_after_responses_of(1.9));
}

// A bound rounded up to a whole request at each of many replicas would be far above the bound over all of
// them.
TEST(ConcurrencyLimit, OverloadIsThinnedBelowOneRequestAReplica) {
  Settings settings = settings_with_large_quota();
  settings.replica_count = 500;
  settings.tenants = {{1000000.0}};
  ReplicaUnderTest replica(settings);
  replica.at(0, members(20));
  const auto admitted = [&](double from, double answer) {
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      replica.now = from + i;  // one call at a time, too few to fill a rate of answers
      const std::string id = std::to_string(replica.now);
      if (actions_of<StartAttempt>(replica.request(id)).empty()) continue;
      ++sent;
      replica.end_attempt(id, Outcome::kSucceeded, 0, answer);
    }
    return sent;
  };
  EXPECT_EQ(admitted(0, 0.3), 200) << "in calm there is a margin for chance";
  const int overloaded = admitted(1000, 1.9);
  EXPECT_GT(overloaded, 20) << "or the end of the overload would never be seen";
  EXPECT_LT(overloaded, 190);
}

// The requests that start at once after a calm and a while in which the first servers respond slowly.
int capacity_after(int slow_servers, double slow_answer) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(4));
  for (int i = 0; i < 800; ++i) {
    replica.now = i * 0.025;
    const std::string id = "calm" + std::to_string(i);
    replica.request(id);
    replica.end_attempt(id, Outcome::kSucceeded, 0, 0.2);
  }
  for (int i = 0; i < 4; ++i) replica.request("in flight" + std::to_string(i));
  for (int i = 0; i < 60; ++i) {
    replica.now += 0.025;
    const std::string id = "slow" + std::to_string(i);
    const auto attempts = actions_of<StartAttempt>(replica.request(id));
    if (attempts.empty()) continue;
    const bool slow = std::stoi(attempts[0].server.substr(1)) < slow_servers;
    replica.end_attempt(id, Outcome::kSucceeded, 0, slow ? slow_answer : 0.2);
  }
  return 4 + attempts_until_rejected(replica, "more");
}

// Once overloaded, a server stays slow for long; its requests would go to the others and overload them in
// turn.
TEST(ConcurrencyLimit, FallsWhenAllServersTurnSlow) {
  const int calm = capacity_after(4, 0.2);
  const int overloaded = capacity_after(4, 0.5);
  EXPECT_GT(calm, 8);
  EXPECT_LE(overloaded, 6);
  EXPECT_GE(overloaded, 4);
}

// One that is slow by itself must not have the whole tier reject what the others can take.
TEST(ConcurrencyLimit, DoesNotFallForOneSlowServer) { EXPECT_GT(capacity_after(1, 1.5), 8); }

// Now and then a request gets no response, here or in a tier behind, and lasts as long as it may. By the mean
// a few of those would make every server look slow, and the tier would reject what it can take.
TEST(ConcurrencyLimit, DoesNotFallForAFewStuckRequests) {
  for (const Outcome stuck : {Outcome::kTimedOut, Outcome::kSucceeded}) {
    ReplicaUnderTest replica(settings_with_large_quota());
    replica.at(0, members(4));
    for (int i = 0; i < 1600; ++i) {
      replica.now = i * 0.025;
      const std::string id = std::to_string(i);
      if (actions_of<StartAttempt>(replica.request(id)).empty()) continue;
      const bool is_stuck = i > 800 && i % 20 < 2;
      if (actions_of<StartAttempt>(
              replica.end_attempt(id, is_stuck ? stuck : Outcome::kSucceeded, 0, is_stuck ? 2.5 : 0.2))
              .empty())
        continue;
      replica.end_attempt(id, Outcome::kSucceeded, 1, 0.2);
    }
    EXPECT_GT(attempts_until_rejected(replica, "more"), 8);
  }
}

}  // namespace
}  // namespace nettleyoke
