/// @file
/// Adaptive concurrency limits of a tier: how many requests a replica has in flight before it rejects further
/// ones.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"
#include "large_quota_settings.h"

namespace nettleyoke {
namespace {

// Requests to a server that has stopped responding stay in flight and queue behind each other.
TEST(ConcurrencyLimit, BoundsRequestsInFlightAtSilentServers) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(3));
  int attempts = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    attempts += static_cast<int>(actions_of<StartAttempt>(actions).size());
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
  }
  EXPECT_EQ(attempts + rejected, 300);
  EXPECT_GT(attempts, 3);
  EXPECT_LT(attempts, 40);
}

// An initial limit that is small at one replica would overload the servers if many replicas start together.
TEST(ConcurrencyLimit, InitialLimitIsSharedByTheReplicas) {
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
  for (const auto& [address, requests] : in_flight) EXPECT_LE(requests, 16) << address;
}

// With many replicas, each one's share of a server's capacity is less than one request. A strict limit would
// reject requests that coincide by chance.
TEST(ConcurrencyLimit, DoesNotRejectAFewRequestsByChance) {
  Settings settings = settings_with_large_quota();
  settings.replica_count = 500;
  settings.tenants = {{100000.0}};
  ReplicaUnderTest replica(settings);
  replica.at(0, members(100));
  std::map<int, std::string> ends;  // ids of requests by the step in which they end
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    replica.now = 10 + i * 0.02;
    if (ends.count(i) != 0) replica.end_attempt(ends[i], Outcome::kSucceeded, 0, 0.4);
    if (i % 25 > 1) continue;  // two requests close together, twice a second
    const std::string id = std::to_string(i);
    const auto actions = replica.request(id);
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    if (!actions_of<StartAttempt>(actions).empty()) ends[i + 20] = id;
  }
  EXPECT_EQ(rejected, 0);
}

// A rejection behind the first tier wastes the work that the tiers in front of it have done.
TEST(ConcurrencyLimit, RejectsNothingBehindTheFirstTier) {
  Settings settings = settings_with_large_quota();
  settings.tier = 1;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(3));
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(actions_of<StartAttempt>(replica.request(std::to_string(i))).size(), 1U);
}

// Sends requests without ending them until one is rejected; returns the number of attempts.
int attempts_until_rejected(ReplicaUnderTest& replica, const std::string& prefix) {
  int attempts = 0;
  while (!actions_of<StartAttempt>(replica.request(prefix + std::to_string(attempts))).empty()) ++attempts;
  return attempts;
}

// Behind the first tier, free capacity is only a preference: a failing server with free capacity must not be
// preferred to a healthy server without free capacity.
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
    if (attempts.empty() || attempts[0].server != "s2") continue;  // the other servers never respond
    to_failing += i >= 50 ? 1 : 0;
    replica.end_attempt(id, Outcome::kServerError);
  }
  EXPECT_LT(to_failing, 40);
}

// Each replica has an allowance for bursts of requests that coincide by chance. Over many replicas, these
// allowances add up to an overload, so they apply only while responses are fast.
TEST(ConcurrencyLimit, BurstAllowanceShrinksWithSlowResponses) {
  const auto capacity_after_responses_of = [](double later_latency) {
    ReplicaUnderTest replica(settings_with_large_quota());
    replica.at(0, members(20));
    for (int i = 0; i < 200; ++i) {
      replica.now = i * 0.2;
      const std::string id = "a" + std::to_string(i);
      if (!actions_of<StartAttempt>(replica.request(id)).empty())
        replica.end_attempt(id, Outcome::kSucceeded, 0, i < 100 ? 0.4 : later_latency);
    }
    return attempts_until_rejected(replica, "b");
  };
  EXPECT_GT(capacity_after_responses_of(0.4), capacity_after_responses_of(1.9));
}

// If each of many replicas rounded its share of a limit up to one request, all together would far exceed the
// limit.
TEST(ConcurrencyLimit, ShareBelowOneRequestPerReplicaRejectsAFractionUnderOverload) {
  Settings settings = settings_with_large_quota();
  settings.replica_count = 500;
  settings.tenants = {{1000000.0}};
  ReplicaUnderTest replica(settings);
  replica.at(0, members(20));
  const auto count_admitted = [&](double from, double latency) {
    int admitted = 0;
    for (int i = 0; i < 200; ++i) {
      replica.now = from + i;  // one request at a time: too few to measure a response rate
      const std::string id = std::to_string(replica.now);
      if (actions_of<StartAttempt>(replica.request(id)).empty()) continue;
      ++admitted;
      replica.end_attempt(id, Outcome::kSucceeded, 0, latency);
    }
    return admitted;
  };
  EXPECT_EQ(count_admitted(0, 0.3), 200) << "the burst allowance applies while responses are fast";
  const int admitted = count_admitted(1000, 1.9);
  EXPECT_GT(admitted, 20) << "enough requests to observe the end of the overload";
  EXPECT_LT(admitted, 190);
}

// The number of requests in flight that are admitted after fast responses of all servers, then slow responses
// of the first `slow_servers` servers.
int capacity_after_slow_responses(int slow_servers, double slow_latency) {
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
    replica.end_attempt(id, Outcome::kSucceeded, 0, slow ? slow_latency : 0.2);
  }
  return 4 + attempts_until_rejected(replica, "more");
}

// An overloaded server stays slow for long. If the limit did not fall, its requests would move to the other
// servers and overload them as well.
TEST(ConcurrencyLimit, FallsWhenAllServersTurnSlow) {
  const int fast = capacity_after_slow_responses(4, 0.2);
  const int overloaded = capacity_after_slow_responses(4, 0.5);
  EXPECT_GT(fast, 8);
  EXPECT_LE(overloaded, 6);
  EXPECT_GE(overloaded, 4);
}

// A single slow server must not make the tier reject requests that the other servers can process.
TEST(ConcurrencyLimit, DoesNotFallForOneSlowServer) { EXPECT_GT(capacity_after_slow_responses(1, 1.5), 8); }

// Occasionally a request gets no response, from this tier or a tier behind it, and lasts until its timeout.
// If the limit depended on the mean latency, a few such requests would make every server look slow, and the
// tier would reject requests that it can process.
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
