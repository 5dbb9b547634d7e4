/// @file
/// The rules for all decisions, tested one by one: idempotency and a single final answer.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

std::size_t final_answers(const std::vector<Action>& actions) {
  return actions_of<Reject>(actions).size() + actions_of<Fail>(actions).size();
}

constexpr Outcome kFailures[] = {Outcome::kServerError,   Outcome::kRejected, Outcome::kTimedOut,
                                 Outcome::kConnectFailed, Outcome::kReset,    Outcome::kCancelled,
                                 Outcome::kNotSent,       Outcome::kUnknown};

// Eight servers in two zones and four cells.
MembershipUpdate servers_in_zones_and_cells() {
  MembershipUpdate update;
  for (int i = 0; i < 8; ++i) update.servers.push_back(server(i, i % 2, i / 2));
  return update;
}

// One case of the retry matrix: the first attempt of a request has a given failure, and its retries fail to
// connect.
class RetryCase {
 public:
  RetryCase(Idempotency idempotency, DedupScope scope, std::uint64_t seed)
      : idempotency_(idempotency),
        scope_(scope),
        replica_(basic_settings(class_of(idempotency, scope)), seed) {
    replica_.at(0, servers_in_zones_and_cells());
    for (const Server& listed : servers_in_zones_and_cells().servers) servers_[listed.address] = listed;
  }

  void run(Outcome first_outcome) {
    auto actions = replica_.request("r");
    for (int attempt = 0; attempt < 10; ++attempt) {
      const auto attempts = actions_of<StartAttempt>(actions);
      if (attempts.empty()) return check_final_answer(actions);
      ASSERT_EQ(attempts.size(), 1U);
      const Server& server = servers_[attempts[0].server];
      check_retry(server);
      const Outcome outcome = attempt == 0 ? first_outcome : Outcome::kConnectFailed;
      if (!may_have_run_at_ && !expected_to_prove_never_ran(outcome)) may_have_run_at_ = server;
      replica_.now += 0.05;
      actions = replica_.end_attempt("r", outcome, attempt);
      ASSERT_LT(attempt, 9);
    }
  }

 private:
  bool has_key() const { return idempotency_ == Idempotency::kIdempotencyKey; }

  // A request that may have run may be retried only at a server that recognises the retry.
  void check_retry(const Server& server) const {
    if (!may_have_run_at_) return;
    EXPECT_NE(idempotency_, Idempotency::kNonIdempotent);
    if (has_key() && scope_ == DedupScope::kZone) {
      EXPECT_EQ(server.zone, may_have_run_at_->zone);
    }
    if (has_key() && scope_ == DedupScope::kCell) {
      EXPECT_EQ(server.cell, may_have_run_at_->cell);
    }
  }

  // A request that may have run may be rejected only if a client retry is harmless.
  void check_final_answer(const std::vector<Action>& actions) const {
    EXPECT_EQ(final_answers(actions), 1U);
    if (actions_of<Reject>(actions).empty() || !may_have_run_at_ || idempotency_ == Idempotency::kIdempotent)
      return;
    EXPECT_TRUE(has_key() && scope_ == DedupScope::kAll);
  }

  Idempotency idempotency_;
  DedupScope scope_;
  ReplicaUnderTest replica_;
  std::map<std::string, Server> servers_;
  std::optional<Server> may_have_run_at_;
};

// All combinations of idempotency, dedup scope and failure: which requests may be retried, where, and which
// may be rejected.
TEST(Idempotency, RetriesAndRejectionsFollowTheMatrix) {
  const std::pair<Idempotency, DedupScope> idempotency_rules[] = {
      {Idempotency::kIdempotent, DedupScope::kCell},
      {Idempotency::kIdempotencyKey, DedupScope::kAll},
      {Idempotency::kIdempotencyKey, DedupScope::kZone},
      {Idempotency::kIdempotencyKey, DedupScope::kCell},
      {Idempotency::kNonIdempotent, DedupScope::kCell}};
  for (const auto& [idempotency, scope] : idempotency_rules) {
    for (const Outcome first_outcome : kFailures) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) RetryCase(idempotency, scope, seed).run(first_outcome);
    }
  }
}

TEST(Idempotency, NoRetryAfterTheDedupWindow) {
  RequestClass request_class = class_of(Idempotency::kIdempotencyKey, DedupScope::kAll);
  request_class.dedup_window = 0.5;
  ReplicaUnderTest replica(basic_settings(request_class));
  replica.at(0, members(4));
  ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  replica.now = 0.6;
  EXPECT_TRUE(actions_of<StartAttempt>(replica.end_attempt("r", Outcome::kServerError)).empty());
}

// An attempt's failure before and after the client's disconnect: one final answer, or none once the client
// has disconnected.
TEST(FinalAnswer, IsGivenOnceInEveryOrderOfEvents) {
  for (const Outcome outcome : kFailures) {
    for (const bool disconnected_first : {false, true}) {
      Settings settings = basic_settings(class_of(Idempotency::kNonIdempotent));
      settings.max_attempts = 1;
      ReplicaUnderTest replica(settings);
      replica.at(0, members(3));
      ASSERT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
      replica.now = 1;
      std::vector<Action> actions;
      if (disconnected_first) {
        actions = replica.at(1, RequestCancelled{"r"});
        EXPECT_EQ(final_answers(actions), 0U);
        EXPECT_EQ(actions_of<CancelAttempt>(actions).size(), 1U);
        actions = replica.end_attempt("r", outcome);
        EXPECT_EQ(final_answers(actions), 0U);
      } else {
        actions = replica.end_attempt("r", outcome);
        EXPECT_EQ(final_answers(actions), 1U);
        EXPECT_TRUE(replica.at(1, RequestCancelled{"r"}).empty());
      }
      EXPECT_TRUE(actions_of<StartAttempt>(actions).empty());
      EXPECT_TRUE(replica.end_attempt("r", outcome).empty()) << "the same outcome reported twice";
    }
  }
}

TEST(FinalAnswer, IsNotGivenAfterASuccess) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.request("r");
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSucceeded).empty());
  EXPECT_TRUE(replica.at(0, RequestCancelled{"r"}).empty());
}

TEST(FinalAnswer, AttemptTimeoutStaysWithinTheClientTimeout) {
  RequestClass request_class = class_of(Idempotency::kNonIdempotent);
  request_class.late_value = 0.5;
  ReplicaUnderTest replica(basic_settings(request_class));
  replica.at(0, members(3));
  Request request;
  request.id = "r";
  request.time_left = 0.7;
  const auto attempts = actions_of<StartAttempt>(replica.at(0, request));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_LE(attempts[0].timeout, 0.7);
  EXPECT_GT(attempts[0].timeout, 0);
}

TEST(FinalAnswer, IsARejectionWithoutReadyServers) {
  ReplicaUnderTest without_servers(basic_settings());
  EXPECT_EQ(actions_of<Reject>(without_servers.request("a")).size(), 1U);
  ReplicaUnderTest draining(basic_settings());
  MembershipUpdate update = members(3);
  for (Server& s : update.servers) s.state = ServerState::kDraining;
  draining.at(0, update);
  EXPECT_EQ(actions_of<Reject>(draining.request("a")).size(), 1U);
}

TEST(FinalAnswer, IsGivenAfterTheMaximumNumberOfAttempts) {
  Settings settings = basic_settings();
  settings.max_attempts = 3;
  ReplicaUnderTest replica(settings);
  replica.at(0, members(8));
  auto actions = replica.request("r");
  int attempts = 0;
  while (!actions_of<StartAttempt>(actions).empty())
    actions = replica.end_attempt("r", Outcome::kRejected, attempts++);
  EXPECT_LE(attempts, 3);
  EXPECT_EQ(final_answers(actions), 1U);
}

}  // namespace
}  // namespace nettleyoke
