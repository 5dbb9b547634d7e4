// The violations that the checker counts for calls that comply with a rule and for calls that violate it.
#include "checks/invariant_checker.h"

#include "lab_harness.h"

namespace nettleyoke::lab {
namespace {

constexpr std::size_t kIdempotentClass = 0;
constexpr std::size_t kKeyedClass = 1;
constexpr std::size_t kNonIdempotentClass = 2;

// One node, two servers and a class of each idempotency.
struct InvariantCheckerTest : testing::Test {
  InvariantChecker checker{
      strict_rules({class_spec(Idempotency::kIdempotent), class_spec(Idempotency::kIdempotencyKey),
                    class_spec(Idempotency::kNonIdempotent)})};
  std::size_t node = checker.add_node("n0");
  std::size_t first = checker.add_server("s0");
  std::size_t second = checker.add_server("s1");
  bool is_connected = true;

  std::optional<InvariantChecker::AttemptIndex> arrive(const std::string& id, std::size_t server,
                                                       double now) {
    return checker.attempt_arrived(id, server, now, [this] { return is_connected; });
  }
  std::size_t violations(const std::string& word) const {
    const auto found = checker.violations().find(word);
    return found == checker.violations().end() ? 0 : found->second;
  }
  // A call whose first attempt ends at 0.1 s and whose second arrives at `retried_at`.
  void call_with_retry(const std::string& id, std::size_t request_class, AttemptOutcome first_outcome,
                       double retried_at) {
    checker.call_sent(id, node, request_class, 2, 0);
    const auto attempt = arrive(id, first, 0);
    ASSERT_TRUE(attempt);
    checker.attempt_ended(id, *attempt, first_outcome, 0.1);
    arrive(id, second, retried_at);
  }
};

TEST_F(InvariantCheckerTest, AttemptInFlight_SecondArrives_ViolationUnlessFirstIsDisconnected) {
  checker.call_sent("a", node, kIdempotentClass, 2, 0);
  arrive("a", first, 0.1);
  arrive("a", second, 0.2);
  EXPECT_EQ(violations("copy"), 1U);
  checker.call_sent("b", node, kIdempotentClass, 2, 0);
  arrive("b", first, 0.1);
  is_connected = false;
  arrive("b", second, 0.2);
  EXPECT_EQ(violations("copy"), 1U);
  EXPECT_EQ(checker.calls().at("b").attempts[0].outcome, AttemptOutcome::kAbandoned);
}

TEST_F(InvariantCheckerTest, ServerDraining_AttemptArrivesPastGrace_ViolationUntilServerIsUpAgain) {
  checker.server_notified(node, "s1", false, 1);
  for (const double now : {0.9, 1.2, 1.5, 1.6}) {
    const std::string id = std::to_string(now);
    checker.call_sent(id, node, kIdempotentClass, 2, now);
    arrive(id, second, now);
  }
  EXPECT_EQ(violations("drain"), 1U);
  EXPECT_NEAR(checker.latest_attempt_after_notification().at(second), 0.6, 1e-9);
  checker.server_notified(node, "s1", true, 2);
  checker.call_sent("up again", node, kIdempotentClass, 2, 3);
  arrive("up again", second, 3);
  EXPECT_EQ(violations("drain"), 1U);
}

TEST_F(InvariantCheckerTest, AttemptMayHaveRun_RetryArrives_ViolationUnlessItsClassAllowsIt) {
  is_connected = false;
  call_with_retry("safe", kIdempotentClass, AttemptOutcome::kServerError, 1.5);
  call_with_retry("keyed, within its window", kKeyedClass, AttemptOutcome::kServerError, 0.9);
  call_with_retry("unsafe, rejected", kNonIdempotentClass, AttemptOutcome::kRejected, 0.9);
  EXPECT_EQ(violations("duplicate"), 0U);
  call_with_retry("keyed, past its window", kKeyedClass, AttemptOutcome::kServerError, 1.1);
  call_with_retry("unsafe", kNonIdempotentClass, AttemptOutcome::kServerError, 0.2);
  EXPECT_EQ(violations("duplicate"), 2U);
}

TEST_F(InvariantCheckerTest, LateAttemptOrSecondAnswerOrUnknownCallOrNoAnswer_Violation) {
  checker.call_sent("open to the end", node, kIdempotentClass, 2, 0);
  checker.call_sent("answered", node, kIdempotentClass, 2, 0);
  checker.call_ended("answered", CallOutcome::kFailed, 0.2);
  arrive("answered", first, 0.4);
  EXPECT_EQ(violations("after"), 1U);
  checker.call_ended("answered", CallOutcome::kServed, 0.5);
  EXPECT_EQ(violations("answer"), 1U);
  EXPECT_FALSE(arrive("nobody's", first, 0.1));
  EXPECT_EQ(violations("unknown"), 1U);
  checker.close(9);
  EXPECT_EQ(violations("lost"), 1U);
}

}  // namespace
}  // namespace nettleyoke::lab
