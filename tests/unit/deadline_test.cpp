/// @file
/// Attempt timeouts and deadlines, over one to seven tiers: the decision library with simulated nodes and
/// servers on a simulated clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "balancer_harness.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

constexpr double kNormalLoad = 0.6;           // fraction of a tier's capacity
constexpr int kClientAttempts = 3;            // per request, including the first
constexpr double kClientPauseSeconds = 0.02;  // before a client retry

// Tiers of servers, each of which sends requests to the next.
struct Chain {
  int tiers = 3;
  bool passes_deadline = true;  // to the next tier; otherwise each tier starts a new deadline
  double deadline = 0.4;        // s
  double service_seconds = 0.02;
  int servers = 6;               // per tier
  int cores = 2;                 // per server
  int entry_nodes = 2;           // nodes that clients send requests to
  double recovery_seconds = 20;  // between the overload and the checks
};

// Each server sends requests to the next tier through its own node. A server finishes all work that it has
// begun, even after the deadline.
class SimulatedTiers {
 public:
  explicit SimulatedTiers(const Chain& chain) : chain_(chain), random_(7) {
    for (int i = 0; i < chain.entry_nodes; ++i) entry_nodes_.push_back(make_node(0, i, chain.entry_nodes));
    for (int tier = 0; tier < chain.tiers; ++tier) {
      for (int i = 0; i < chain.servers; ++i) {
        servers_.push_back(
            {tier, {}, 0, tier + 1 < chain.tiers ? make_node(tier + 1, i, chain.servers) : nullptr});
      }
    }
  }

  // Sends requests for `seconds` at a fraction `load` of a tier's capacity. Returns the fraction that was
  // served within these `seconds`.
  double offer(double load, double seconds) {
    const double rate = load * chain_.servers * chain_.cores / chain_.service_seconds;
    const double from = now_;
    int sent = 0;
    int served = 0;
    for (double at = from; at < from + seconds; at += (0.5 + random_.unit()) / rate) {
      ++sent;
      schedule(at, [this, &served] { send_as_client(now_ + chain_.deadline, kClientAttempts, served); });
    }
    run_until(from + seconds);
    const double served_in_time = served;
    // Pending callbacks refer to `served`, so they run before it goes out of scope.
    schedule(from + seconds + chain_.deadline, [] {});
    run_until(from + seconds + chain_.deadline);
    return served_in_time / sent;
  }

  double slowdown = 1;            // multiplies the service time of all servers
  int late_final_answers = 0;     // final answers after the deadline
  double last_tier_requests = 0;  // requests that servers of the last tier have begun

 private:
  using AnswerCallback = std::function<void(bool succeeded)>;
  struct PendingRequest {
    double deadline = 0;
    int attempts = 0;
    AnswerCallback answer;
  };
  struct Node {
    int tier;
    std::unique_ptr<ReplicaUnderTest> replica;
    std::map<std::string, PendingRequest> requests;
  };
  struct QueuedRequest {
    double deadline;
    AnswerCallback answer;
  };
  struct SimulatedServer {
    int tier;
    std::deque<QueuedRequest> queue;
    int busy_cores;
    std::unique_ptr<Node> node;
  };
  struct ScheduledEvent {
    double at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const ScheduledEvent& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  std::unique_ptr<Node> make_node(int tier, int index, int count) const {
    Settings settings = basic_settings();
    settings.classes[0].latency_objective = chain_.deadline;
    settings.classes[0].client_timeout = chain_.deadline;
    settings.replica_index = index;
    settings.replica_count = count;
    settings.tier = tier;
    auto node = std::make_unique<Node>();
    node->tier = tier;
    node->replica =
        std::make_unique<ReplicaUnderTest>(settings, static_cast<std::uint64_t>(100 * tier + index));
    node->replica->at(0, members(chain_.servers));
    return node;
  }

  void schedule(double at, std::function<void()> run) { events_.push({at, ++order_, std::move(run)}); }

  // Sends a request and, after a failure, up to `attempts` - 1 client retries before the deadline.
  void send_as_client(double deadline, int attempts, int& served) {
    Node& node = *entry_nodes_[random_.below(entry_nodes_.size())];
    handle_request(node, deadline, [this, deadline, attempts, &served](bool succeeded) {
      served += succeeded;
      if (succeeded || attempts == 1) return;
      schedule(now_ + kClientPauseSeconds, [this, deadline, attempts, &served] {
        if (now_ < deadline) send_as_client(deadline, attempts - 1, served);
      });
    });
  }

  void run_until(double end) {
    while (!events_.empty() && events_.top().at <= end) {
      const ScheduledEvent next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    now_ = end;
  }

  void handle_request(Node& node, double deadline, AnswerCallback answer) {
    const std::string id = std::to_string(++order_);
    node.requests[id] = {deadline, 0, std::move(answer)};
    execute(node, node.replica->at(now_, Request{id, 0, 0, deadline - now_, {}}));
  }

  void finish(Node& node, const std::string& id, bool succeeded) {
    const auto found = node.requests.find(id);
    if (found == node.requests.end()) return;
    const PendingRequest finished = std::move(found->second);
    node.requests.erase(found);
    late_final_answers += now_ > finished.deadline + 1e-9;
    finished.answer(succeeded && now_ <= finished.deadline);
  }

  void report_result(Node& node, const std::string& id, int attempt, Outcome outcome, double started_at) {
    if (outcome == Outcome::kSucceeded) finish(node, id, true);
    execute(node, node.replica->at(now_, AttemptResult{id, attempt, outcome, now_ - started_at,
                                                       !node.requests.contains(id)}));
  }

  void execute(Node& node, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* rejection = std::get_if<Reject>(&action)) finish(node, rejection->id, false);
      if (const auto* failure = std::get_if<Fail>(&action)) finish(node, failure->id, false);
      if (const auto* started = std::get_if<StartAttempt>(&action)) start_attempt(node, *started);
    }
  }

  void start_attempt(Node& node, const StartAttempt& started) {
    const int attempt = node.requests.at(started.id).attempts++;
    const auto is_reported = std::make_shared<bool>(false);
    const double started_at = now_;
    const double deadline = now_ + started.deadline;
    const auto report = [this, &node, id = started.id, attempt, is_reported, started_at](Outcome outcome) {
      if (!std::exchange(*is_reported, true)) report_result(node, id, attempt, outcome, started_at);
    };
    schedule(now_ + started.timeout, [report] { report(Outcome::kTimedOut); });
    const int server_index = node.tier * chain_.servers + std::stoi(started.server.substr(1));
    SimulatedServer& server = servers_[static_cast<std::size_t>(server_index)];
    server.queue.push_back({deadline, [report](bool succeeded) {
                              report(succeeded ? Outcome::kSucceeded : Outcome::kServerError);
                            }});
    serve_queue(server);
  }

  void serve_queue(SimulatedServer& server) {
    while (server.busy_cores < chain_.cores && !server.queue.empty()) {
      const QueuedRequest next = std::move(server.queue.front());
      server.queue.pop_front();
      ++server.busy_cores;
      last_tier_requests += server.tier + 1 == chain_.tiers;
      schedule(now_ + slowdown * chain_.service_seconds * (0.5 + random_.unit()), [this, &server, next] {
        --server.busy_cores;
        const double deadline = chain_.passes_deadline ? next.deadline : now_ + chain_.deadline;
        if (!server.node) {
          next.answer(true);
        } else if (deadline <= now_) {
          next.answer(false);
        } else {
          handle_request(*server.node, deadline, next.answer);
        }
        serve_queue(server);
      });
    }
  }

  Chain chain_;
  RandomSource random_;
  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t order_ = 0;
  double now_ = 0;
  std::vector<std::unique_ptr<Node>> entry_nodes_;
  std::vector<SimulatedServer> servers_;
};

class TransientOverload : public testing::TestWithParam<Chain> {};

// All servers are slow for a while, and clients retry. Once the servers are fast again, the overload must
// end: timeouts learned only from responses that arrived in time must not leave later tiers less time than
// they need.
TEST_P(TransientOverload, EndsWithItsCause) {
  const Chain& chain = GetParam();
  SimulatedTiers tiers(chain);
  EXPECT_GT(tiers.offer(kNormalLoad, 10), 0.95);
  tiers.slowdown = 3;
  EXPECT_LT(tiers.offer(kNormalLoad, 4), 0.6);
  tiers.slowdown = 1;
  tiers.offer(kNormalLoad, chain.recovery_seconds);
  const double requests_before = tiers.last_tier_requests;
  EXPECT_GT(tiers.offer(kNormalLoad, 10), 0.95);
  const double first_attempts = kNormalLoad * chain.servers * chain.cores / chain.service_seconds * 10;
  EXPECT_LT((tiers.last_tier_requests - requests_before) / first_attempts, 1.2);
  EXPECT_EQ(tiers.late_final_answers, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Chains, TransientOverload,
    testing::Values(Chain{.tiers = 1}, Chain{.tiers = 2}, Chain{.tiers = 3},
                    Chain{.tiers = 3, .passes_deadline = false}, Chain{.tiers = 3, .deadline = 2},
                    Chain{.tiers = 3, .deadline = 0.2}, Chain{.tiers = 7, .deadline = 0.6},
                    Chain{.tiers = 7, .passes_deadline = false, .deadline = 2, .recovery_seconds = 40}));

// A replica that has learned from response times of 0.05 and 0.15 s.
struct TrainedReplica : ReplicaUnderTest {
  TrainedReplica() : ReplicaUnderTest(basic_settings()) {
    at(0, members(2));
    for (int i = 0; i < 100; ++i) {
      now += 0.2;
      request("q" + std::to_string(i));
      end_attempt("q" + std::to_string(i), Outcome::kSucceeded, 0, i % 2 == 0 ? 0.05 : 0.15);
    }
  }
  std::vector<Action> request_with_time_left(const std::string& id, double time_left) {
    return at(now, Request{id, 0, 0, time_left, {}});
  }
};

TEST(AttemptDeadline, IsTheRemainingTimeAndNotTheAttemptTimeout) {
  TrainedReplica replica;
  const StartAttempt first = actions_of<StartAttempt>(replica.request("r")).at(0);
  EXPECT_LT(first.timeout, 0.6);
  EXPECT_NEAR(first.deadline, 2, 1e-9);  // the latency objective
  replica.now += first.timeout;
  const StartAttempt retry =
      actions_of<StartAttempt>(replica.end_attempt("r", Outcome::kTimedOut, 0, first.timeout)).at(0);
  EXPECT_NEAR(retry.deadline, 2 - first.timeout, 1e-9);
}

TEST(AttemptDeadline, TimeoutLimitedByTheClientDeadlineIsNoServerFailure) {
  TrainedReplica replica;
  const double before = actions_of<StartAttempt>(replica.request("before")).at(0).timeout;
  for (int i = 0; i < 40; ++i) {
    replica.now += 0.2;
    const std::string id = "h" + std::to_string(i);
    ASSERT_EQ(actions_of<StartAttempt>(replica.request_with_time_left(id, 0.06)).size(), 1U);
    replica.now += 0.06;
    replica.end_attempt(id, Outcome::kTimedOut, 0, 0.06);
  }
  EXPECT_GE(actions_of<StartAttempt>(replica.request("after")).at(0).timeout, before);
  EXPECT_EQ(replica.balancer.unavailable_server_count(replica.now), 0U);
}

TEST(AttemptDeadline, FullAttemptTimeoutIsAServerFailure) {
  TrainedReplica replica;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "h" + std::to_string(i);
    replica.request_with_time_left(id, 0.4);
    replica.now += 0.4;
    replica.end_attempt(id, Outcome::kTimedOut, 0, 0.4);
  }
  EXPECT_GT(replica.balancer.unavailable_server_count(replica.now), 0U);
}

TEST(AttemptDeadline, RequestWithTooLittleTimeLeftIsRejected) {
  TrainedReplica replica;
  const auto late = replica.request_with_time_left("late", 0.03);
  EXPECT_TRUE(actions_of<StartAttempt>(late).empty());
  EXPECT_EQ(actions_of<Reject>(late).size(), 1U);
  EXPECT_EQ(actions_of<StartAttempt>(replica.request_with_time_left("in time", 0.06)).size(), 1U);
  replica.now += 10;  // the servers may be faster by now
  EXPECT_EQ(actions_of<StartAttempt>(replica.request_with_time_left("later", 0.03)).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
