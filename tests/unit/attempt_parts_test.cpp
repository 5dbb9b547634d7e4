/// @file
/// The parts that decide about attempts: attempt timeout, idempotency rules, retry budget, latency estimate,
/// request classes.
#include <gtest/gtest.h>

#include "attempts/attempt_timeout.h"
#include "attempts/idempotency_rules.h"
#include "attempts/retry_budget.h"
#include "balancer_harness.h"
#include "statistics/infinity.h"

namespace nettleyoke {
namespace {

// A request with a latency objective of 4 s. Its latency estimate starts with a mean of 1 s and a late
// threshold of 4 s. A response is useful until the clock shows 110 s.
RequestState request_of(Idempotency idempotency, DedupScope scope = DedupScope::kCell) {
  Settings settings = basic_settings(class_of(idempotency, scope));
  settings.classes[0].latency_objective = 4;
  settings.max_attempts = 2;
  RequestClassTable classes;
  classes.replace(settings);
  RequestState request;
  request.request_class = classes.at(0);
  request.useful_until = 110;
  return request;
}

TEST(AttemptTimeout, AttemptTimesOutAtTheLateThresholdIfARetryIsPossible) {
  RequestState request = request_of(Idempotency::kIdempotent);
  EXPECT_DOUBLE_EQ(attempt_timeout(100, request), 4);
  EXPECT_DOUBLE_EQ(attempt_timeout(105.5, request), 4.5) << "no time left for a retry";
  request.attempts.push_back({0, 100});
  EXPECT_DOUBLE_EQ(attempt_timeout(100, request), 10) << "the last allowed attempt";
  EXPECT_DOUBLE_EQ(attempt_timeout(100, request_of(Idempotency::kNonIdempotent)), 10);
}

TEST(IdempotencyRules, OnlyRejectedUnconnectedAndUnsentAttemptsProveThatTheyNeverRan) {
  for (int outcome = 0; outcome <= static_cast<int>(Outcome::kUnknown); ++outcome) {
    EXPECT_EQ(proves_never_ran(static_cast<Outcome>(outcome)),
              expected_to_prove_never_ran(static_cast<Outcome>(outcome)));
  }
}

TEST(IdempotencyRules, RetryIsAllowedOnlyWhereItCannotRepeatTheEffectsOfTheRequest) {
  const Server earlier = server(0, 1, 2);
  const auto allows = [&](Idempotency idempotency, DedupScope scope, const Server& candidate, double now) {
    return allows_attempt_after(now, class_of(idempotency, scope), {0, 100}, earlier, candidate);
  };
  const Server same_cell = server(1, 1, 2);
  const Server same_zone = server(1, 1, 3);
  const Server elsewhere = server(1, 2, 3);
  EXPECT_TRUE(allows(Idempotency::kIdempotent, DedupScope::kCell, elsewhere, 200));
  EXPECT_FALSE(allows(Idempotency::kNonIdempotent, DedupScope::kAll, same_cell, 100));
  EXPECT_TRUE(allows(Idempotency::kIdempotencyKey, DedupScope::kCell, same_cell, 104));
  EXPECT_FALSE(allows(Idempotency::kIdempotencyKey, DedupScope::kCell, same_zone, 104));
  EXPECT_TRUE(allows(Idempotency::kIdempotencyKey, DedupScope::kZone, same_zone, 104));
  EXPECT_FALSE(allows(Idempotency::kIdempotencyKey, DedupScope::kZone, elsewhere, 104));
  EXPECT_TRUE(allows(Idempotency::kIdempotencyKey, DedupScope::kAll, elsewhere, 104));
  EXPECT_FALSE(allows(Idempotency::kIdempotencyKey, DedupScope::kAll, same_cell, 104.1))
      << "the dedup window has ended";
  AttemptRecord never_ran{0, 100};
  never_ran.may_have_run = false;
  EXPECT_TRUE(
      allows_attempt_after(200, class_of(Idempotency::kNonIdempotent), never_ran, earlier, elsewhere));
}

TEST(IdempotencyRules, RetryWithAKeyMustBeSentWithinTheDedupWindowOfTheFirstAttempt) {
  RequestState request = request_of(Idempotency::kIdempotencyKey);
  EXPECT_EQ(retry_send_limit(101, request), std::nullopt);
  request.attempts = {{0, 100}, {1, 101}};
  EXPECT_EQ(retry_send_limit(101, request), 3);
  request.attempts[0].may_have_run = false;
  EXPECT_EQ(retry_send_limit(101, request), 4);
}

TEST(IdempotencyRules, RequestThatMayHaveRunIsRejectedOnlyIfAClientRetryIsHarmless) {
  const auto may_reject_after_attempt = [](Idempotency idempotency, DedupScope scope) {
    RequestState request = request_of(idempotency, scope);
    EXPECT_TRUE(may_reject(request)) << "no attempt has run";
    request.attempts.push_back({0, 100});
    return may_reject(request);
  };
  EXPECT_TRUE(may_reject_after_attempt(Idempotency::kIdempotent, DedupScope::kCell));
  EXPECT_TRUE(may_reject_after_attempt(Idempotency::kIdempotencyKey, DedupScope::kAll));
  EXPECT_FALSE(may_reject_after_attempt(Idempotency::kIdempotencyKey, DedupScope::kZone));
  EXPECT_FALSE(may_reject_after_attempt(Idempotency::kNonIdempotent, DedupScope::kAll));
}

TEST(RetryBudget, RetriesStopWhenTheBudgetIsSpentUntilFirstAttemptsRefillIt) {
  const RequestState request = request_of(Idempotency::kIdempotent);
  RetryBudget budget;
  budget.on_first_attempt();  // the budget is full already
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(budget.allows_retry(100, request));
    budget.on_retry();
  }
  EXPECT_FALSE(budget.allows_retry(100, request));
  for (int i = 0; i < 11; ++i) budget.on_first_attempt();
  EXPECT_TRUE(budget.allows_retry(100, request));
}

TEST(RetryBudget, RequestWithoutTimeBodyOrAttemptsLeftIsNotRetried) {
  const RetryBudget budget;
  RequestState request = request_of(Idempotency::kIdempotent);
  EXPECT_TRUE(budget.allows_retry(109.4, request));
  EXPECT_FALSE(budget.allows_retry(109.6, request)) << "less time left than half the mean latency";
  request.body_consumed = true;
  EXPECT_FALSE(budget.allows_retry(100, request));
  request.body_consumed = false;
  request.attempts = {{0, 100}, {1, 101}};
  EXPECT_FALSE(budget.allows_retry(102, request)) << "all attempts are used";
}

TEST(LatencyEstimate, LaterTimeoutWeighsMoreAndItsSampleIsBounded) {
  const LatencyEstimate latency(4);  // a mean of 1 s, a deviation of 0.5 s
  EXPECT_EQ(latency.timeout_weight(0.4), 0);
  EXPECT_EQ(latency.timeout_weight(1), 0.5);
  EXPECT_EQ(latency.timeout_weight(1.5), 1);
  EXPECT_EQ(latency.censored_sample(1.2), 1.7);
  EXPECT_EQ(latency.censored_sample(9), 2.5);
}

TEST(RequestClassTable, ReplacedSettingsKeepTheLatencyOfAClassOfTheSameName) {
  Settings settings = basic_settings();
  settings.classes[0].name = "kept";
  RequestClassTable classes;
  classes.replace(settings);
  classes.at(0)->latency.record(5);
  const double learned = classes.at(0)->latency.mean();
  settings.classes.insert(settings.classes.begin(), class_of(Idempotency::kIdempotent));
  classes.replace(settings);
  EXPECT_EQ(classes.at(1)->latency.mean(), learned);
  EXPECT_NE(classes.at(0)->latency.mean(), learned);
  EXPECT_EQ(classes.at(99)->class_settings.client_timeout, kInfinity) << "requests without a class";
}

}  // namespace
}  // namespace nettleyoke
