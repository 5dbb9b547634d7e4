// What all copies together send to a cold server. Each copy knows its own traffic alone, so that only the sum
// shows whether the ramp holds: played here with 1 to 300 copies against servers that queue.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <stdexcept>
#include <string>
#include <tuple>

#include "balancer_harness.h"
#include "settings_reader.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

constexpr double kTold = 108, kBurst = 110, kCalm = 114, kEnd = 118;  // s
constexpr double kStartCapacity = 0.3, kRamp = 8, kTipMultiple = 4, kTipAfter = 2;
constexpr double kUsed = 0.8;  // of what the servers can do, were all warm

struct Play {
  const char* name;
  int copies, servers;
  double rate;           // requests a second a copy, in the mean
  double cold = 0.1;     // part of the servers that starts at kTold
  double late = 0;       // s; copies hear of it over this time
  bool by_hand = false;  // they were taken out and are put back by hand
  bool fresh = false;    // each second copy has just started itself
  double fails = 0;      // part of the others that refuses connections while the burst lasts
  double deaf = 0;       // s; the cold ones refuse connections so long after their start
  std::uint64_t seed = 1;
};

void PrintTo(const Play& play, std::ostream* out) { *out << play.name << " x " << play.copies; }

class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), random_(play.seed), nodes_(servers()) {
    able_ = play.copies * play.rate / play.servers / kUsed;
    for (std::size_t c = 0; c < copies(); ++c) {
      shares_.push_back(random_.unit() < 1.0 / 6 ? 4 : 0.4);  // some get several times the mean
      const double sets_in = play.fresh && c % 2 == 1 ? kTold : 100;
      at(sets_in, [this, c] { start(c); });
      if (sets_in < kTold) at(kTold + play.late * random_.unit(), [this, c] { tell(c); });
    }
    double sum = 0;
    for (const double share : shares_) sum += share;
    for (double& share : shares_) share *= play.rate * play.copies / sum;
    for (std::size_t c = 0; c < copies(); ++c) at(next_of(c, 100), [this, c] { arrive(c); });
  }

  void run() {
    while (!events_.empty() && now_ < kEnd) {
      const Entry next = events_.top();
      events_.pop();
      now_ = next.time;
      (*next.act)();
    }
  }

  bool is_cold(std::size_t n) const { return static_cast<double>(n) < play_.cold * play_.servers; }
  const std::vector<double>& sends(std::size_t n) const { return nodes_[n].sends; }
  std::size_t servers() const { return static_cast<std::size_t>(play_.servers); }
  // What a server can do, and of that what comes to it as its part where all get alike.
  double able(double time) const {
    return able_ * std::min(1.0, kStartCapacity + (1 - kStartCapacity) * std::max(0.0, time - kTold) / kRamp);
  }
  // One that refused connections is spared for its failures at first, as it should be.
  double fair() const {
    double sum = 0;
    for (double t = kTold + std::max(play_.late, play_.deaf > 0 ? play_.deaf + 2 : 0); t < kEnd; t += 0.01)
      sum += 0.01 * kUsed * able(t);
    return sum;
  }

 private:
  struct Node {
    double busy_until = 0;
    std::vector<double> sends;
  };
  struct Entry {
    double time;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> act;
    bool operator<(const Entry& o) const { return std::tie(o.time, o.order) < std::tie(time, order); }
  };

  std::size_t copies() const { return static_cast<std::size_t>(play_.copies); }
  void at(double time, std::function<void()> act) {
    events_.push({time, ++order_, std::make_shared<std::function<void()>>(std::move(act))});
  }
  double next_of(std::size_t c, double now) {
    const double rate = shares_[c] * (now > kBurst && now < kCalm ? 1.5 : 1);
    return now - std::log(1 - random_.unit()) / rate;
  }

  MembershipUpdate list(bool with_cold) const {
    MembershipUpdate m = members(play_.servers);
    if (play_.by_hand) return m;
    for (std::size_t n = 0; n < servers(); ++n) {
      if (is_cold(n)) m.servers[n].started = kTold;
    }
    if (!with_cold) std::erase_if(m.servers, [](const Server& s) { return s.started > 0; });
    return m;
  }

  void start(std::size_t c) {
    Settings s = basic_settings();
    s.replica_count = play_.copies;
    s.replica_index = static_cast<int>(c);
    s.initial_capacity = kStartCapacity;
    s.slow_start_duration = kRamp;
    s.overload_threshold = kTipMultiple;
    copies_.resize(copies());
    copies_[c] = std::make_unique<Copy>(s, play_.seed * 1000 + c);
    copies_[c]->at(now_, list(now_ >= kTold));
    if (play_.by_hand) switch_all(c, false);
    if (play_.by_hand && now_ >= kTold) switch_all(c, true);
  }

  void tell(std::size_t c) {
    if (play_.by_hand) return switch_all(c, true);
    copies_[c]->at(now_, list(true));
  }

  void switch_all(std::size_t c, bool enabled) {
    for (std::size_t n = 0; n < servers() && is_cold(n); ++n) {
      copies_[c]->at(now_, ServerAdminStateChanged{server(static_cast<int>(n)).address, enabled});
    }
  }

  void arrive(std::size_t c) {
    at(next_of(c, now_), [this, c] { arrive(c); });
    if (!copies_[c]) return;
    Copy& copy = *copies_[c];
    copy.now = now_;
    follow(c, copy.request(std::to_string(++requests_)), 0);
  }

  void follow(std::size_t c, const std::vector<Action>& actions, int attempt) {
    for (const StartAttempt& send : all<StartAttempt>(actions)) {
      const auto n = static_cast<std::size_t>(std::stoul(send.server.substr(1)));
      const double ends = serve(n), late = now_ + send.timeout;
      const Outcome outcome = fails(n)      ? Outcome::kConnectFailed
                              : ends < 0    ? Outcome::kRejected
                              : ends < late ? Outcome::kSucceeded
                                            : Outcome::kTimedOut;
      const double then = ends < 0 ? now_ + 0.005 : std::min(ends, late), sent = now_;
      at(then, [this, c, attempt, outcome, sent, id = send.id] {
        const bool done = outcome == Outcome::kSucceeded;
        follow(c, copies_[c]->at(now_, AttemptResult{id, attempt, outcome, now_ - sent, done}), attempt + 1);
      });
    }
  }

  bool fails(std::size_t n) const {
    if (is_cold(n)) return now_ < kTold + play_.deaf;
    return static_cast<double>(n % 4) < 4 * play_.fails && now_ > kBurst && now_ < kCalm;
  }

  // When the answer comes, or below 0 where the server turns the call away.
  double serve(std::size_t n) {
    Node& node = nodes_[n];
    node.sends.push_back(now_);
    if (fails(n) || node.busy_until > now_ + 1) return -1;
    const double begins = std::max(node.busy_until, now_);
    node.busy_until = begins + 1 / (is_cold(n) ? able(now_) : able_);
    return begins + 0.05;
  }

  Play play_;
  RandomSource random_;
  std::vector<Node> nodes_;
  std::vector<double> shares_;
  std::vector<std::unique_ptr<Copy>> copies_;
  std::priority_queue<Entry> events_;
  double now_ = 0, able_ = 0;
  std::uint64_t order_ = 0, requests_ = 0;
};

class ColdInFleet : public testing::TestWithParam<Play> {};

TEST_P(ColdInFleet, TheSumKeepsTheRampAndLeavesNoServerWithoutWork) {
  Fleet fleet(GetParam());
  fleet.run();
  double got = 0, fair = 0;
  for (std::size_t n = 0; n < fleet.servers() && fleet.is_cold(n); ++n) {
    const std::vector<double>& sends = fleet.sends(n);
    for (std::size_t first = 0, last = 0; first < sends.size(); ++first) {
      while (last < sends.size() && sends[last] < sends[first] + kTipAfter) ++last;
      const double budget = kTipMultiple * kTipAfter * fleet.able(sends[first]);
      const double most = budget + 2 * std::sqrt(budget) + 2;
      EXPECT_LE(static_cast<double>(last - first), most)
          << "server " << n << ", " << sends[first] - kTold << " s after its start";
      if (HasFailure()) return;
    }
    EXPECT_GE(static_cast<double>(sends.size()), fleet.fair() / 4 - 2 * std::sqrt(fleet.fair() / 4))
        << "server " << n;
    got += static_cast<double>(sends.size());
    fair += fleet.fair();
  }
  EXPECT_GE(got, 0.6 * fair);
}

std::vector<Play> plays() {
  std::vector<Play> out;
  for (Play size :
       {Play{"", 1, 6, 40}, Play{"", 5, 10, 30}, Play{"", 30, 12, 10}, Play{"", 30, 40, 20},
        Play{"", 300, 100, 8}, Play{"", 300, 20, 3}, Play{"", 300, 300, 4}, Play{"", 300, 6, 0.5}}) {
    size.cold = 0.1;
    const auto add = [&](const char* name, const std::function<void(Play&)>& change) {
      Play play = size;
      play.name = name;
      play.seed = out.size() + 1;
      change(play);
      out.push_back(play);
    };
    add("One", [](Play&) {});
    add("SixInTen", [](Play& p) { p.cold = 0.6; });
    add("All", [](Play& p) { p.cold = 1; });
    add("ByHand", [](Play& p) { p.by_hand = true; });
    add("Late", [](Play& p) { p.late = 1, p.cold = 0.3; });
    add("Fresh", [](Play& p) { p.fresh = true, p.cold = 0.3; });
    add("OthersFail", [](Play& p) { p.fails = 0.25, p.cold = 0.3; });
    add("Deaf", [](Play& p) { p.deaf = 3, p.cold = 0.3; });
    add("AllOthersFail", [](Play& p) { p.fails = 1, p.cold = 0.3; });
  }
  return out;
}

INSTANTIATE_TEST_SUITE_P(, ColdInFleet, testing::ValuesIn(plays()), [](const auto& test) {
  return std::string(test.param.name) + "With" + std::to_string(test.param.copies) + "On" +
         std::to_string(test.param.servers);
});

// Guards against settings whose servers fall sooner than most.
TEST(ColdFleet, BudgetsStayUnderASmallMultiple) {
  const auto served = [](const std::string& rules) {
    rapidjson::Document told;
    told.Parse(
        (R"({"position":0,"peersTotal":1,"bounds":{},"categories":[{"aim":2,"giveUp":6,"effect":"safe"}],
                    "rules":{"startCapacity":0.3,"rampTime":1e6)" +
         rules + "}}")
            .c_str());
    Copy copy(json::read_settings(told));
    MembershipUpdate all_cold = members(4);
    for (Server& s : all_cold.servers) s.started = 100;
    copy.at(100, all_cold);
    double sent = 0;
    for (int i = 0; i < 2000; ++i) {
      copy.now += 0.02;
      const std::string id = std::to_string(i);
      sent += static_cast<double>(all<StartAttempt>(copy.request(id)).size());
      copy.end(id, Outcome::kSucceeded);
    }
    return sent / 2000;
  };
  const double whole = served("");
  EXPECT_GT(whole, 0.2);  // its rate is learned first
  EXPECT_LT(whole, 0.33);
  EXPECT_EQ(served(R"(,"tipMultiple":4)"), whole);
  EXPECT_NEAR(served(R"(,"tipMultiple":1)"), whole / 2, 0.03);
  EXPECT_THROW(served(R"(,"tipMultiple":-1)"), std::invalid_argument);
  EXPECT_THROW(served(R"(,"tipMultiple":"4")"), json::BadMessage);
}

}  // namespace
}  // namespace nettleyoke
