/// @file
/// Retries: what pays for them at one replica, and what they add up to over replicas and tiers.
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

// Spends what a replica has saved up for retries: errors, each retried until there is nothing left.
void spend_retries(ReplicaUnderTest& replica) {
  for (int i = 0; i < 12; ++i) {
    const std::string id = "spend" + std::to_string(i);
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt)
      sent = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
    replica.now += 30;  // no server is ejected for it any more
  }
}

TEST(RetryBudget, RetryOfARejectionIsPaidFor) {
  ReplicaUnderTest replica(six_attempts());
  replica.at(0, members(8));
  spend_retries(replica);
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

// Replicas must not all connect to a server which is about to come back, as often as they may.
TEST(RetryBudget, BoundsConnectsWhereAllServersRefuseThem) {
  ReplicaUnderTest replica(six_attempts());
  replica.at(0, members(4));
  int connects = 0, calls = 0;
  for (; calls < 1000; ++calls, replica.now += 0.01) {
    const std::string id = std::to_string(calls);
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt, ++connects)
      sent = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kConnectFailed, attempt));
  }
  EXPECT_LE(connects, calls * 1.1 + 6);
}

// Tiers of servers with a replica before each: a request to a server of one tier is a request by the replica
// beside it to the next one.
struct TieredFleet {
  static constexpr int kWidth = 8;  // replicas that send to a tier, and servers in it

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

  Outcome call(std::size_t tier, std::size_t index) {
    ReplicaUnderTest& replica = replicas[tier][index];
    const std::string id = std::to_string(++calls);
    if (calls > 100000) return Outcome::kServerError;  // far over any bound: no need to see the rest
    replica.now = now;
    std::vector<StartAttempt> sent = actions_of<StartAttempt>(replica.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt) {
      ++connects_by_tier[tier];
      Outcome outcome = tier + 1 == replicas.size() ? last_tier_outcome() : Outcome::kSucceeded;
      if (outcome != Outcome::kConnectFailed) {
        ++requests_by_tier[tier];
        const auto next_replica = static_cast<std::size_t>(sent[0].server[1] - '0');
        // What a tier behind has given up comes back as an error, whatever it was there.
        if (tier + 1 < replicas.size() && call(tier + 1, next_replica) != Outcome::kSucceeded)
          outcome = Outcome::kServerError;
      }
      sent = actions_of<StartAttempt>(replica.end_attempt(id, outcome, attempt, 0.01));
      if (outcome == Outcome::kSucceeded) return outcome;
    }
    return Outcome::kServerError;
  }

  // Sends requests from outside, a hundred a second; returns how many were served.
  int run(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i, now += 0.01)
      served += call(0, static_cast<std::size_t>(i % kWidth)) == Outcome::kSucceeded ? 1 : 0;
    return served;
  }

  // How many requests the last tier may get for `count` calls: each tier adds a tenth, and what each replica
  // saved.
  double bound(int count) const {
    double most = count;
    for (std::size_t tier = 0; tier < replicas.size(); ++tier) most = most * 1.1 + kWidth * 6;
    return most;
  }

  std::vector<std::vector<ReplicaUnderTest>> replicas;  // by tier
  std::vector<int> requests_by_tier,
      connects_by_tier;  // requests that reached a server, and attempts to reach one
  std::function<Outcome()> last_tier_outcome = [] { return Outcome::kSucceeded; };
  double now = 0;
  int calls = 0;
};

// Tiers that each retry what the one behind has given up would have an overload feed itself.
TEST(RetryBudget, BoundsTheLoadOfTheLastTierUnderOverload) {
  for (const int tiers : {1, 3, 7}) {
    for (const Outcome bad :
         {Outcome::kServerError, Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
      TieredFleet fleet(tiers);
      const int count = 1000;
      EXPECT_EQ(fleet.run(count), count);
      fleet.last_tier_outcome = [bad] { return bad; };
      std::fill(fleet.requests_by_tier.begin(), fleet.requests_by_tier.end(), 0);
      std::fill(fleet.connects_by_tier.begin(), fleet.connects_by_tier.end(), 0);
      EXPECT_EQ(fleet.run(count), 0);
      EXPECT_LE(fleet.requests_by_tier.back(), fleet.bound(count));
      EXPECT_LE(fleet.connects_by_tier.back(), fleet.bound(count));
      fleet.last_tier_outcome = [] { return Outcome::kSucceeded; };
      fleet.now += 60;
      EXPECT_EQ(fleet.run(count), count) << "the overload is over, and all is as before";
    }
  }
}

}  // namespace
}  // namespace nettleyoke
