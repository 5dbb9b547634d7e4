// Further attempts: what pays for them at one copy, and what they add up to over copies and tiers.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

Settings six_attempts() {
  Settings s = basic_settings();
  s.max_attempts = 6;
  return s;
}

// Takes what a copy has saved up for repeats of work: errors, each repeated until there is nothing left.
void spend_retries(Copy& copy) {
  for (int i = 0; i < 12; ++i) {
    const std::string id = "spend" + std::to_string(i);
    std::vector<StartAttempt> sent = all<StartAttempt>(copy.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt)
      sent = all<StartAttempt>(copy.end(id, Outcome::kServerError, attempt));
    copy.now += 30;  // no server is distrusted for it any more
  }
}

TEST(Retries, WhatWasTurnedAwayIsPaidForAsWork) {
  Copy copy(six_attempts());
  copy.at(0, members(8));
  spend_retries(copy);
  copy.request("a");
  EXPECT_TRUE(all<StartAttempt>(copy.end("a", Outcome::kRejected)).empty());
}

TEST(Retries, WhatNeverLeftIsNotRepeatedPastItsTime) {
  Copy copy(six_attempts());
  copy.at(0, members(8));
  copy.request("a");
  copy.now = 6;
  const std::vector<Action> end = copy.end("a", Outcome::kConnectFailed);
  EXPECT_TRUE(all<StartAttempt>(end).empty());
  EXPECT_EQ(all<Reject>(end).size(), 1U);
}

// Guards against copies that all dial a server which is about to come back, as often as they may.
TEST(Retries, WhereAllRefuseDialsAreHeldByTheBudget) {
  Copy copy(six_attempts());
  copy.at(0, members(4));
  int dials = 0, calls = 0;
  for (; calls < 1000; ++calls, copy.now += 0.01) {
    const std::string id = std::to_string(calls);
    std::vector<StartAttempt> sent = all<StartAttempt>(copy.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt, ++dials)
      sent = all<StartAttempt>(copy.end(id, Outcome::kConnectFailed, attempt));
  }
  EXPECT_LE(dials, calls * 1.1 + 6);
}

// Tiers of servers with a copy before each: a call to a server of one tier is a call by the copy beside it to
// the next one.
struct Fleet {
  static constexpr int kWidth = 8;  // copies that send to a tier, and servers in it

  explicit Fleet(int tiers) : asked(static_cast<std::size_t>(tiers)), dialled(asked) {
    for (int tier = 0; tier < tiers; ++tier) {
      Settings s = six_attempts();
      s.tier = tier;
      s.replica_count = kWidth;
      copies.emplace_back();
      for (s.replica_index = 0; s.replica_index < kWidth; ++s.replica_index) {
        copies.back().emplace_back(s, static_cast<std::uint64_t>(s.replica_index + 1));
        copies.back().back().at(0, members(kWidth));
      }
    }
  }

  Outcome call(std::size_t tier, std::size_t index) {
    Copy& copy = copies[tier][index];
    const std::string id = std::to_string(++calls);
    if (calls > 100000) return Outcome::kServerError;  // far over any bound: no need to see the rest
    copy.now = now;
    std::vector<StartAttempt> sent = all<StartAttempt>(copy.request(id));
    for (int attempt = 0; !sent.empty(); ++attempt) {
      ++dialled[tier];
      Outcome outcome = tier + 1 == copies.size() ? last() : Outcome::kSucceeded;
      if (outcome != Outcome::kConnectFailed) {
        ++asked[tier];
        const std::size_t to = static_cast<std::size_t>(sent[0].server[1] - '0');
        // What a tier behind gave up comes back as an error, whatever it was there.
        if (tier + 1 < copies.size() && call(tier + 1, to) != Outcome::kSucceeded)
          outcome = Outcome::kServerError;
      }
      sent = all<StartAttempt>(copy.end(id, outcome, attempt, 0.01));
      if (outcome == Outcome::kSucceeded) return outcome;
    }
    return Outcome::kServerError;
  }

  // Plays calls from outside, a hundred a second; returns how many were served.
  int play(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i, now += 0.01)
      served += call(0, static_cast<std::size_t>(i % kWidth)) == Outcome::kSucceeded ? 1 : 0;
    return served;
  }

  // How much the last tier may be asked for `count` calls: each tier adds a tenth, and what each copy saved.
  double bound(int count) const {
    double most = count;
    for (std::size_t tier = 0; tier < copies.size(); ++tier) most = most * 1.1 + kWidth * 6;
    return most;
  }

  std::vector<std::vector<Copy>> copies;  // by tier
  std::vector<int> asked, dialled;        // by tier: calls that reached a server, and tries to reach one
  std::function<Outcome()> last = [] { return Outcome::kSucceeded; };
  double now = 0;
  int calls = 0;
};

// Guards against tiers that each repeat what the one behind has given up, so that a crowd feeds itself.
TEST(Retries, InACrowdTheLastTierIsAskedForNoMoreThanTheBound) {
  for (const int tiers : {1, 3, 7}) {
    for (const Outcome bad :
         {Outcome::kServerError, Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
      Fleet fleet(tiers);
      const int count = 1000;
      EXPECT_EQ(fleet.play(count), count);
      fleet.last = [bad] { return bad; };
      std::fill(fleet.asked.begin(), fleet.asked.end(), 0);
      std::fill(fleet.dialled.begin(), fleet.dialled.end(), 0);
      EXPECT_EQ(fleet.play(count), 0);
      EXPECT_LE(fleet.asked.back(), fleet.bound(count));
      EXPECT_LE(fleet.dialled.back(), fleet.bound(count));
      fleet.last = [] { return Outcome::kSucceeded; };
      fleet.now += 60;
      EXPECT_EQ(fleet.play(count), count) << "the crowd has gone, and all is as before";
    }
  }
}

}  // namespace
}  // namespace nettleyoke
