// Calls to another zone cost a fee: which calls cross, and which have to.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

constexpr double kWork = 0.2;       // s; each server answers one call at a time
constexpr double kCrossing = 0.02;  // s; the way to another zone and back
constexpr int kHome = 2, kAway = 4;

// One of five copies, before servers with a queue each. What is cut off takes no connection.
struct Zones {
  explicit Zones(double price) : copy(settings(price)) { list(kHome); }

  static Settings settings(double price) {
    Settings s = basic_settings();
    s.replica_count = 5;
    s.cross_zone_cost = price;
    return s;
  }

  void list(int home) {
    MembershipUpdate m;
    for (int i = kHome - home; i < kHome + kAway; ++i) m.servers.push_back(server(i, i < kHome ? 0 : 1));
    copy.at(copy.now, m);
  }

  // Bursts of `burst` calls, one each `gap`, for `seconds`; counts anew.
  void offer(double seconds, double gap, int burst) {
    home = away = refused = 0;
    const double from = copy.now;
    for (int n = 0; n * gap < seconds; ++n) {
      run_until(from + n * gap);
      for (int i = 0; i < burst; ++i) take(copy.request("r" + std::to_string(calls++)));
    }
    run_until(from + seconds);
  }

  void take(const std::vector<Action>& actions) {
    refused += static_cast<int>(all<Reject>(actions).size());
    for (const StartAttempt& s : all<StartAttempt>(actions)) {
      const int at = std::stoi(s.server.substr(1));
      const bool is_away = at >= kHome;
      (is_away ? away : home) += 1;
      const int attempt = attempts[s.id]++;
      if (is_away && cut) {
        due.insert({copy.now + 0.2, s.id, attempt, copy.now, Outcome::kConnectFailed});
        continue;
      }
      double& free = free_at[at];
      free = std::max(free, copy.now) + kWork;
      due.insert({free + (is_away ? kCrossing : 0), s.id, attempt, copy.now, Outcome::kSucceeded});
    }
  }

  void run_until(double t) {
    while (!due.empty() && std::get<0>(*due.begin()) <= t) {
      const auto [end, id, attempt, sent, outcome] = *due.begin();
      due.erase(due.begin());
      copy.now = end;
      if (outcome == Outcome::kSucceeded) longest = std::max(longest, end - sent);
      take(copy.end(id, outcome, attempt, end - sent));
    }
    copy.now = t;
  }

  double crossed() const { return static_cast<double>(away) / std::max(1, home + away); }

  Copy copy;
  std::set<std::tuple<double, std::string, int, double, Outcome>> due;  // by when each attempt ends
  std::map<std::string, int> attempts;
  std::map<int, double> free_at;
  int home = 0, away = 0, refused = 0, calls = 0;
  double longest = 0;
  bool cut = false;
};

// Guards against a fee paid for nothing: bursts that home answers within a third of the aim.
TEST(Zones, WhatHomeAnswersWellWithinTheAimDoesNotCross) {
  Zones priced(0.22), free(0);
  for (Zones* z : {&priced, &free}) {
    z->offer(20, 0.5, 3);
    z->offer(60, 0.5, 3);
    EXPECT_EQ(z->refused, 0);
  }
  EXPECT_LT(priced.crossed(), 0.02);
  EXPECT_GT(free.crossed(), 0.4);
}

// Under a skew, half as much again as home can do. Danger: where the bound on home's queues is wider than
// that on the tier, home never counts as full, and what could cross is refused.
TEST(Zones, WhatHomeCannotAnswerCrossesAndTheRestStays) {
  Zones z(0.22);
  z.offer(20, 0.2, 3);
  z.offer(60, 0.2, 3);
  EXPECT_GT(z.crossed(), 0.25);
  EXPECT_LT(z.crossed(), 0.45);
  EXPECT_LT(z.refused, 18) << "of 900";
  EXPECT_LT(z.longest, 2) << "the aim";
}

TEST(Zones, OfALostZoneAllCrossAndComeHomeAfterwards) {
  Zones z(0.22);
  z.offer(20, 0.5, 3);
  z.list(0);
  z.offer(10, 0.5, 3);
  EXPECT_EQ(z.home, 0);
  EXPECT_EQ(z.away, 60);
  EXPECT_EQ(z.refused, 0);
  z.list(kHome);
  z.offer(10, 0.5, 3);
  z.offer(30, 0.5, 3);
  EXPECT_LT(z.crossed(), 0.02);
}

// Cut off from the others, a zone with more calls than it can answer goes on answering what it can.
TEST(Zones, UnderACutHomeServesAsMuchAsBefore) {
  Zones z(0.22);
  z.offer(20, 0.2, 3);
  z.offer(10, 0.2, 3);
  const int before = z.home;
  z.cut = true;
  z.offer(10, 0.2, 3);
  EXPECT_GT(z.home, before * 9 / 10);
  EXPECT_LT(z.crossed(), 0.5);
}

}  // namespace
}  // namespace nettleyoke
