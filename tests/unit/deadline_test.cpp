// How long calls are given, over several tiers: the module alone, its nodes and servers on one made clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>

#include "balancer_harness.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

constexpr double kLoad = 0.6;    // of what a tier can do
constexpr int kTries = 3;        // of one client
constexpr double kPause = 0.02;  // s; between them

struct Chain {
  int tiers = 3;
  bool passes_deadline = true;
  double deadline = 0.4, work = 0.02;  // s
  int servers = 6, cores = 2, fronts = 2;
  double recovery = 20;  // s
};

// Tiers of servers, each with a node of its own to the next; work once begun is done, also for nobody.
class Tiers {
 public:
  explicit Tiers(const Chain& chain) : chain_(chain), draws_(7) {
    for (int i = 0; i < chain.fronts; ++i) fronts_.push_back(node(0, i, chain.fronts));
    for (int tier = 0; tier < chain.tiers; ++tier) {
      for (int i = 0; i < chain.servers; ++i) {
        servers_.push_back(
            {tier, {}, 0, tier + 1 < chain.tiers ? node(tier + 1, i, chain.servers) : nullptr});
      }
    }
  }

  // Calls at `load` of what a tier can do, from now on for so long; returns the part that was answered in
  // time.
  double offer(double load, double seconds) {
    const double rate = load * chain_.servers * chain_.cores / chain_.work, from = now_;
    int asked = 0, served = 0;
    for (double at = from; at < from + seconds; at += (0.5 + draws_.unit()) / rate) {
      ++asked;
      plan(at, [this, &served] { ask(now_ + chain_.deadline, kTries, served); });
    }
    run_until(from + seconds);
    const double in_time = served;
    plan(from + seconds + chain_.deadline, [] {});
    run_until(from + seconds + chain_.deadline);
    return in_time / asked;
  }

  double slow = 1;       // x the usual work, at all servers
  int late = 0;          // final answers after their time
  double last_work = 0;  // calls that the last tier's servers have begun

 private:
  struct Call {
    double until = 0;
    int attempts = 0;
    std::function<void(bool)> answer;
  };
  struct Node {
    int tier;
    std::unique_ptr<Copy> copy;
    std::map<std::string, Call> calls;
  };
  struct Work {
    double until;
    std::function<void(bool)> answer;
  };
  struct Machine {
    int tier;
    std::deque<Work> queue;
    int busy;
    std::unique_ptr<Node> node;
  };
  struct Planned {
    double at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Planned& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  std::unique_ptr<Node> node(int tier, int index, int count) {
    Settings s = basic_settings();
    s.classes[0].latency_objective = s.classes[0].client_timeout = chain_.deadline;
    s.replica_index = index;
    s.replica_count = count;
    s.tier = tier;
    auto out = std::make_unique<Node>();
    out->tier = tier;
    out->copy = std::make_unique<Copy>(s, static_cast<std::uint64_t>(100 * tier + index));
    out->copy->at(0, members(chain_.servers));
    return out;
  }

  void plan(double at, std::function<void()> act) { planned_.push({at, ++order_, std::move(act)}); }
  // A client asks once more, after a moment, as long as its time lasts.
  void ask(double until, int tries, int& served) {
    call(*fronts_[draws_.below(fronts_.size())], until, [this, until, tries, &served](bool good) {
      served += good;
      if (good || tries == 1) return;
      plan(now_ + kPause, [this, until, tries, &served] {
        if (now_ < until) ask(until, tries - 1, served);
      });
    });
  }
  void run_until(double end) {
    while (!planned_.empty() && planned_.top().at <= end) {
      const Planned next = planned_.top();
      planned_.pop();
      now_ = next.at;
      next.act();
    }
    now_ = end;
  }

  void call(Node& at, double until, std::function<void(bool)> answer) {
    const std::string id = std::to_string(++order_);
    at.calls[id] = {until, 0, std::move(answer)};
    perform(at, at.copy->at(now_, Request{id, 0, 0, until - now_, {}}));
  }

  void end(Node& at, const std::string& id, bool good) {
    const auto found = at.calls.find(id);
    if (found == at.calls.end()) return;
    const Call ended = std::move(found->second);
    at.calls.erase(found);
    late += now_ > ended.until + 1e-9;
    ended.answer(good && now_ <= ended.until);
  }

  void result(Node& at, const std::string& id, int attempt, Outcome outcome, double sent) {
    const bool served = outcome == Outcome::kSucceeded;
    if (served) end(at, id, true);
    perform(at, at.copy->at(now_, AttemptResult{id, attempt, outcome, now_ - sent, !at.calls.contains(id)}));
  }

  void perform(Node& at, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* r = std::get_if<Reject>(&action)) end(at, r->id, false);
      if (const auto* f = std::get_if<Fail>(&action)) end(at, f->id, false);
      if (const auto* s = std::get_if<StartAttempt>(&action)) send(at, *s);
    }
  }

  void send(Node& at, const StartAttempt& s) {
    const int attempt = at.calls.at(s.id).attempts++;
    const auto over = std::make_shared<bool>(false);
    const double sent = now_, until = now_ + s.deadline;
    const auto report = [this, &at, id = s.id, attempt, over, sent](Outcome outcome) {
      if (!std::exchange(*over, true)) result(at, id, attempt, outcome, sent);
    };
    plan(now_ + s.timeout, [report] { report(Outcome::kTimedOut); });
    Machine& to =
        servers_[static_cast<std::size_t>(at.tier * chain_.servers + std::stoi(s.server.substr(1)))];
    to.queue.push_back(
        {until, [report](bool good) { report(good ? Outcome::kSucceeded : Outcome::kServerError); }});
    work(to);
  }

  void work(Machine& on) {
    while (on.busy < chain_.cores && !on.queue.empty()) {
      const Work next = std::move(on.queue.front());
      on.queue.pop_front();
      ++on.busy;
      last_work += on.tier + 1 == chain_.tiers;
      plan(now_ + slow * chain_.work * (0.5 + draws_.unit()), [this, &on, next] {
        --on.busy;
        const double until = chain_.passes_deadline ? next.until : now_ + chain_.deadline;
        if (!on.node) {
          next.answer(true);
        } else if (until <= now_) {
          next.answer(false);
        } else {
          call(*on.node, until, next.answer);
        }
        work(on);
      });
    }
  }

  Chain chain_;
  RandomSource draws_;
  std::priority_queue<Planned> planned_;
  std::uint64_t order_ = 0;
  double now_ = 0;
  std::vector<std::unique_ptr<Node>> fronts_;
  std::vector<Machine> servers_;
};

class Overload : public testing::TestWithParam<Chain> {};

// All servers turn slow for a while, and clients ask again. The harm goes with its cause: what is learned
// from the calls that were quick enough must not leave the tiers behind with less than they need.
TEST_P(Overload, LeavesNothingBehind) {
  const Chain& chain = GetParam();
  Tiers tiers(chain);
  EXPECT_GT(tiers.offer(kLoad, 10), 0.95);
  tiers.slow = 3;
  EXPECT_LT(tiers.offer(kLoad, 4), 0.6);
  tiers.slow = 1;
  tiers.offer(kLoad, chain.recovery);
  const double begun = tiers.last_work;
  EXPECT_GT(tiers.offer(kLoad, 10), 0.95);
  const double first_tries = kLoad * chain.servers * chain.cores / chain.work * 10;
  EXPECT_LT((tiers.last_work - begun) / first_tries, 1.2);
  EXPECT_EQ(tiers.late, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Chains, Overload,
    testing::Values(Chain{.tiers = 1}, Chain{.tiers = 2}, Chain{.tiers = 3},
                    Chain{.tiers = 3, .passes_deadline = false}, Chain{.tiers = 3, .deadline = 2},
                    Chain{.tiers = 3, .deadline = 0.2}, Chain{.tiers = 7, .deadline = 0.6},
                    Chain{.tiers = 7, .passes_deadline = false, .deadline = 2, .recovery = 40}));

// A copy that has learned answer times of 0.05 and 0.15 s.
struct Learned : Copy {
  Learned() : Copy(basic_settings()) {
    at(0, members(2));
    for (int i = 0; i < 100; ++i) {
      now += 0.2;
      request("q" + std::to_string(i));
      end("q" + std::to_string(i), Outcome::kSucceeded, 0, i % 2 == 0 ? 0.05 : 0.15);
    }
  }
  std::vector<Action> hurried(const std::string& id, double time_left) {
    return at(now, Request{id, 0, 0, time_left, {}});
  }
};

TEST(Deadlines, ServersAreToldWhatIsLeftAndNotHowLongTheyAreWaitedFor) {
  Learned copy;
  const StartAttempt sent = all<StartAttempt>(copy.request("r")).at(0);
  EXPECT_LT(sent.timeout, 0.6);
  EXPECT_NEAR(sent.deadline, 2, 1e-9);  // the aim
  copy.now += sent.timeout;
  const StartAttempt again = all<StartAttempt>(copy.end("r", Outcome::kTimedOut, 0, sent.timeout)).at(0);
  EXPECT_NEAR(again.deadline, 2 - sent.timeout, 1e-9);
}

TEST(Deadlines, ATimeOutThatTheCallerCutShortTellsOfNoServer) {
  Learned copy;
  const double before = all<StartAttempt>(copy.request("before")).at(0).timeout;
  for (int i = 0; i < 40; ++i) {
    copy.now += 0.2;
    const std::string id = "h" + std::to_string(i);
    ASSERT_EQ(all<StartAttempt>(copy.hurried(id, 0.06)).size(), 1U);
    copy.now += 0.06;
    copy.end(id, Outcome::kTimedOut, 0, 0.06);
  }
  EXPECT_GE(all<StartAttempt>(copy.request("after")).at(0).timeout, before);
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 0U);
}

TEST(Deadlines, ATimeOutThatHadItsTimeTellsOfItsServer) {
  Learned copy;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "h" + std::to_string(i);
    copy.hurried(id, 0.4);
    copy.now += 0.4;
    copy.end(id, Outcome::kTimedOut, 0, 0.4);
  }
  EXPECT_GT(copy.balancer.unavailable_servers(copy.now), 0U);
}

TEST(Deadlines, ACallThatCanNotBeAnsweredAnyMoreCostsNoServer) {
  Learned copy;
  const auto late = copy.hurried("late", 0.03);
  EXPECT_TRUE(all<StartAttempt>(late).empty());
  EXPECT_EQ(all<Reject>(late).size(), 1U);
  EXPECT_EQ(all<StartAttempt>(copy.hurried("in time", 0.06)).size(), 1U);
  copy.now += 10;  // servers may be quicker by now
  EXPECT_EQ(all<StartAttempt>(copy.hurried("later", 0.03)).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
