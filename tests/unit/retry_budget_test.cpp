/// @file
/// The retry budget: which retries it limits at one replica, and the total load that retries add over
/// replicas and tiers.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

Settings six_attempts() {
  Settings settings = basic_settings();
  settings.max_attempts = 6;
  return settings;
}

// Exhausts a replica's retry budget: each request fails and is retried until no retry is left.
void exhaust_retry_budget(ReplicaUnderTest& replica) {
  for (int i = 0; i < 12; ++i) {
    const std::string id = "spend" + std::to_string(i);
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt)
      sent = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
    replica.now += 30;  // until the servers that failed are no longer ejected
  }
}

TEST(RetryBudget, RetryOfARejectedAttemptNeedsBudget) {
  ReplicaUnderTest replica(six_attempts());
  replica.at(0, members(8));
  exhaust_retry_budget(replica);
  replica.request("a");
  EXPECT_TRUE(actions_of<StartAttempt>(replica.end_attempt("a", Outcome::kRejected)).empty());
}

TEST(RetryBudget, UnsentRequestIsNotRetriedPastItsTimeout) {
  ReplicaUnderTest replica(six_attempts());
  replica.at(0, members(8));
  replica.request("a");
  replica.now = 6;
  const std::vector<Action> end = replica.end_attempt("a", Outcome::kConnectFailed);
  EXPECT_TRUE(actions_of<StartAttempt>(end).empty());
  EXPECT_EQ(actions_of<Reject>(end).size(), 1U);
}

// If each replica retried every failed connect, all replicas together would flood a server that is about to
// recover.
TEST(RetryBudget, BoundsConnectsWhileAllServersRefuseThem) {
  ReplicaUnderTest replica(six_attempts());
  replica.at(0, members(4));
  int connects = 0, requests = 0;
  for (; requests < 1000; ++requests, replica.now += 0.01) {
    const std::string id = std::to_string(requests);
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt, ++connects)
      sent = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kConnectFailed, attempt));
  }
  EXPECT_LE(connects, requests * 1.1 + 6);
}

// Tiers of servers. Each server sends to the next tier through its own replica of the balancer, so that a
// request to a server leads to a request of that replica.
struct TieredFleet {
  static constexpr int kWidth = 8;  // number of replicas that send to a tier, and of servers in the tier

  explicit TieredFleet(int tiers)
      : requests_by_tier(static_cast<std::size_t>(tiers)), connects_by_tier(requests_by_tier) {
    for (int tier = 0; tier < tiers; ++tier) {
      Settings settings = six_attempts();
      settings.tier = tier;
      settings.replica_count = kWidth;
      replicas.emplace_back();
      for (settings.replica_index = 0; settings.replica_index < kWidth; ++settings.replica_index) {
        replicas.back().emplace_back(settings, static_cast<std::uint64_t>(settings.replica_index + 1));
        replicas.back().back().at(0, members(kWidth));
      }
    }
  }

  Outcome handle_request(std::size_t tier, std::size_t index) {
    ReplicaUnderTest& replica = replicas[tier][index];
    const std::string id = std::to_string(++requests);
    if (requests > 100000) return Outcome::kServerError;  // far above any bound: the test fails anyway
    replica.now = now;
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt) {
      ++connects_by_tier[tier];
      Outcome outcome = tier + 1 == replicas.size() ? last_tier_outcome() : Outcome::kSucceeded;
      if (outcome != Outcome::kConnectFailed) {
        ++requests_by_tier[tier];
        const auto next_replica = static_cast<std::size_t>(sent[0].server[1] - '0');
        // A failed request of the next tier is a server error for this one, whatever the failure was.
        if (tier + 1 < replicas.size() && handle_request(tier + 1, next_replica) != Outcome::kSucceeded)
          outcome = Outcome::kServerError;
      }
      sent = actions_of<StartAttempt>(replica.end_attempt(id, outcome, attempt, 0.01));
      if (outcome == Outcome::kSucceeded) return outcome;
    }
    return Outcome::kServerError;
  }

  // Sends `count` client requests to the first tier, 100 per second. Returns how many were served.
  int run(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i, now += 0.01)
      served += handle_request(0, static_cast<std::size_t>(i % kWidth)) == Outcome::kSucceeded ? 1 : 0;
    return served;
  }

  // The most requests that the last tier may get for `count` client requests: each tier adds a tenth, and
  // each replica the retries that its budget has saved.
  double bound(int count) const {
    double limit = count;
    for (std::size_t tier = 0; tier < replicas.size(); ++tier) limit = limit * 1.1 + kWidth * 6;
    return limit;
  }

  std::vector<std::vector<ReplicaUnderTest>> replicas;  // by tier
  std::vector<int> requests_by_tier;                    // requests that reached a server
  std::vector<int> connects_by_tier;                    // attempts to connect, also failed ones
  std::function<Outcome()> last_tier_outcome = [] { return Outcome::kSucceeded; };
  double now = 0;
  int requests = 0;
};

// If each tier retried every failure of the next one, retries would multiply and keep up the overload.
TEST(RetryBudget, BoundsTheLoadOfTheLastTierUnderOverload) {
  for (const int tiers : {1, 3, 7}) {
    for (const Outcome failure :
         {Outcome::kServerError, Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
      TieredFleet fleet(tiers);
      const int count = 1000;
      EXPECT_EQ(fleet.run(count), count);
      fleet.last_tier_outcome = [failure] { return failure; };
      std::fill(fleet.requests_by_tier.begin(), fleet.requests_by_tier.end(), 0);
      std::fill(fleet.connects_by_tier.begin(), fleet.connects_by_tier.end(), 0);
      EXPECT_EQ(fleet.run(count), 0);
      EXPECT_LE(fleet.requests_by_tier.back(), fleet.bound(count));
      EXPECT_LE(fleet.connects_by_tier.back(), fleet.bound(count));
      fleet.last_tier_outcome = [] { return Outcome::kSucceeded; };
      fleet.now += 60;
      EXPECT_EQ(fleet.run(count), count) << "all requests are served after the overload";
    }
  }
}

}  // namespace
}  // namespace nettleyoke
