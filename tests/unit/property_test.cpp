/// @file
/// The rules under random events: long seeded event sequences with many settings. The checker is written from
/// the wording of the rules and shares no code with the decision library.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

struct SentAttempt {
  std::string server;
  double started_at = 0;
  bool in_flight = true;
  bool may_have_run = true;  // false once an outcome proves that it did not
};

struct TrackedRequest {
  std::size_t request_class = 0;
  double client_deadline = 0;  // when the client times out, s
  std::vector<SentAttempt> attempts;
  bool is_concluded = false;  // has its final answer, or its client has disconnected
};

// The host of one replica. Reports random events and checks each action that the replica returns against all
// earlier events and actions.
class RuleChecker {
 public:
  RuleChecker(const Settings& settings, std::uint64_t seed)
      : settings_(settings), replica_(settings, seed), random_(seed) {}

  void run(int events) {
    update({MembershipUpdate::Form::kFull, random_servers()});
    for (int i = 0; i < events && !testing::Test::HasFailure(); ++i) {
      now_ += draw(20) == 0 ? 5.0 * draw_unit() : 0.02 * draw_unit();  // mostly small steps, sometimes a jump
      report_timeouts();
      handle_random_event(i);
    }
    now_ += 100;
    report_timeouts();
    for (const auto& [id, tracked] : requests_) {
      EXPECT_TRUE(tracked.is_concluded) << id << " has no final answer";
    }
  }

 private:
  int draw(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }
  double draw_unit() { return static_cast<double>(draw(1000)) / 1000; }

  std::vector<Server> random_servers() {
    std::vector<Server> servers;
    for (int i = 0; i < 12; ++i) {
      if (draw(4) == 0) continue;
      Server next = server(i, i % 2, i / 3);
      if (draw(3) == 0) next.started = now_ - draw_unit();
      next.state = static_cast<ServerState>(draw(5) < 3 ? 0 : draw(3));
      servers.push_back(next);
    }
    return servers;
  }

  void update(const MembershipUpdate& update) {
    if (update.form == MembershipUpdate::Form::kFull) ready_.clear();
    for (const Server& server : update.servers) {
      listed_[server.address] = server;
      ready_[server.address] = server.state == ServerState::kReady;
    }
    check_actions(replica_.at(now_, update));
  }

  // Reports a timeout for each attempt in flight whose client has timed out, as a host does.
  void report_timeouts() {
    for (auto& [id, tracked] : requests_) {
      if (now_ < tracked.client_deadline) continue;
      for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
        if (tracked.attempts[i].in_flight) end_attempt(id, tracked, i, Outcome::kTimedOut);
      }
    }
  }

  void end_attempt(const std::string& id, TrackedRequest& tracked, std::size_t attempt, Outcome outcome) {
    SentAttempt& sent = tracked.attempts[attempt];
    sent.in_flight = false;
    sent.may_have_run = !expected_to_prove_never_ran(outcome);
    if (outcome == Outcome::kSucceeded) tracked.is_concluded = true;
    const AttemptResult result{id, static_cast<int>(attempt), outcome, now_ - sent.started_at,
                               tracked.is_concluded};
    check_actions(replica_.at(now_, result));
    if (draw(8) != 0) return;
    EXPECT_TRUE(replica_.at(now_, result).empty()) << "the same outcome reported twice";
  }

  void handle_random_event(int i) {
    const int event = draw(10);
    if (event < 4) {
      send_request("r" + std::to_string(i));
    } else if (event < 8) {
      end_random_attempt();
    } else if (event == 8 && !requests_.empty()) {
      cancel_first_from("r" + std::to_string(draw(std::max(1, i))));
    } else if (draw(4) == 0) {
      const int form = draw(3);
      update(
          {static_cast<MembershipUpdate::Form>(form), form == 2 ? std::vector<Server>() : random_servers()});
    } else {
      check_actions(replica_.at(now_, TimerFired{static_cast<std::uint64_t>(draw(3))}));
    }
  }

  void send_request(const std::string& id) {
    TrackedRequest& tracked = requests_[id];
    tracked.request_class = static_cast<std::size_t>(draw(static_cast<int>(settings_.classes.size())));
    const double time_left = draw(30) == 0 ? 0 : 6 * draw_unit();
    tracked.client_deadline = now_ + time_left;
    Request request;
    request.id = id;
    request.request_class = tracked.request_class;
    request.tenant = static_cast<std::size_t>(draw(3));
    request.time_left = time_left;
    check_actions(replica_.at(now_, request));
    EXPECT_TRUE(tracked.is_concluded || any_in_flight(tracked))
        << id << " has neither a final answer nor an attempt in flight";
  }

  // Disconnects the client of the first request whose id is not below `id`, unless it is concluded.
  void cancel_first_from(const std::string& id) {
    const auto found = requests_.lower_bound(id);
    if (found == requests_.end() || found->second.is_concluded) return;
    found->second.is_concluded = true;
    check_actions(replica_.at(now_, RequestCancelled{found->first}));
  }

  void end_random_attempt() {
    std::vector<std::pair<std::string, std::size_t>> candidates;
    for (const auto& [id, tracked] : requests_) {
      for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
        if (tracked.attempts[i].in_flight) candidates.emplace_back(id, i);
      }
    }
    if (candidates.empty()) return;
    const auto& [id, attempt] =
        candidates[static_cast<std::size_t>(draw(static_cast<int>(candidates.size())))];
    end_attempt(id, requests_[id], attempt,
                draw(2) == 0 ? Outcome::kSucceeded : static_cast<Outcome>(draw(9)));
  }

  static bool any_in_flight(const TrackedRequest& tracked) {
    for (const SentAttempt& sent : tracked.attempts) {
      if (sent.in_flight) return true;
    }
    return false;
  }

  void check_actions(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* started = std::get_if<StartAttempt>(&action)) check_attempt(*started);
      if (const auto* rejection = std::get_if<Reject>(&action)) check_final_answer(rejection->id, true);
      if (const auto* failure = std::get_if<Fail>(&action)) check_final_answer(failure->id, false);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        EXPECT_TRUE(settings_.can_cancel);
        EXPECT_LT(static_cast<std::size_t>(cancel->attempt), requests_[cancel->id].attempts.size());
      }
    }
  }

  void check_final_answer(const std::string& id, bool is_rejected) {
    TrackedRequest& tracked = requests_.at(id);
    EXPECT_FALSE(tracked.is_concluded) << id << " has two final answers";
    tracked.is_concluded = true;
    const RequestClass& request_class = settings_.classes[tracked.request_class];
    const bool client_retry_is_safe = request_class.idempotency == Idempotency::kIdempotent ||
                                      (request_class.idempotency == Idempotency::kIdempotencyKey &&
                                       request_class.dedup_scope == DedupScope::kAll);
    if (!is_rejected || client_retry_is_safe) return;
    for (const SentAttempt& sent : tracked.attempts)
      EXPECT_FALSE(sent.may_have_run) << id << " is rejected, but may have run";
  }

  void check_attempt(const StartAttempt& started) {
    TrackedRequest& tracked = requests_.at(started.id);
    EXPECT_FALSE(tracked.is_concluded) << started.id << " is sent after its final answer";
    EXPECT_TRUE(ready_[started.server]) << started.server << " is draining, removed or was never listed";
    EXPECT_GT(started.timeout, 0);
    EXPECT_LE(now_ + started.timeout, tracked.client_deadline + 1e-9)
        << "the attempt may end after the client has timed out";
    EXPECT_LT(tracked.attempts.size(), static_cast<std::size_t>(settings_.max_attempts));
    const RequestClass& request_class = settings_.classes[tracked.request_class];
    for (const SentAttempt& before : tracked.attempts) {
      EXPECT_TRUE(settings_.allow_hedging || !before.in_flight)
          << started.id << " has two attempts in flight";
      if (request_class.idempotency == Idempotency::kIdempotent || !before.may_have_run) continue;
      EXPECT_NE(request_class.idempotency, Idempotency::kNonIdempotent) << started.id << " may run twice";
      EXPECT_LE(now_, before.started_at + request_class.dedup_window)
          << started.id << " is retried after its dedup window";
      const Server& earlier = listed_[before.server];
      const Server& next = listed_[started.server];
      EXPECT_TRUE(request_class.dedup_scope != DedupScope::kZone || earlier.zone == next.zone)
          << "another zone does not recognise the retry and may run it again";
      EXPECT_TRUE(request_class.dedup_scope != DedupScope::kCell || earlier.cell == next.cell)
          << "another cell does not recognise the retry and may run it again";
    }
    tracked.attempts.push_back({started.server, now_});
  }

  Settings settings_;
  ReplicaUnderTest replica_;
  std::mt19937 random_;
  double now_ = 50;
  std::map<std::string, TrackedRequest> requests_;
  std::map<std::string, Server> listed_;
  std::map<std::string, bool> ready_;
};

TEST(RuleInvariants, HoldUnderRandomEvents) {
  for (unsigned seed = 1; seed <= 120 && !HasFailure(); ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
    Settings settings = basic_settings();
    settings.classes = {class_of(Idempotency::kIdempotent),
                        class_of(Idempotency::kIdempotencyKey, static_cast<DedupScope>(draw(3))),
                        class_of(Idempotency::kNonIdempotent)};
    for (RequestClass& request_class : settings.classes) {
      request_class.late_value = draw(2) * 0.5;
      request_class.dedup_window = 0.5 + draw(8);
    }
    settings.replica_count = 1 + draw(400);
    settings.replica_index = draw(settings.replica_count);
    settings.tier = draw(3);
    settings.max_attempts = 1 + draw(5);
    settings.can_cancel = draw(2) == 0;
    settings.must_watch = draw(2) == 0;
    settings.initial_capacity = 0.2;
    settings.slow_start_duration = draw(10);
    settings.cross_zone_cost = draw(2) * 0.01;
    settings.tenants = {{1.0 + draw(3000)}, {}};
    SCOPED_TRACE("seed " + std::to_string(seed));
    RuleChecker(settings, seed).run(1500);
  }
}

}  // namespace
}  // namespace nettleyoke
