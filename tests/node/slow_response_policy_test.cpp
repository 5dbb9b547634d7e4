/// @file
/// Unit tests of SlowResponsePolicy: what is done with a response that has begun and is incomplete.
#include "upstream/slow_response_policy.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

using namespace std::chrono_literals;
using Decision = SlowResponsePolicy::Decision;

class SlowResponsePolicyTest : public ::testing::Test {
 protected:
  // The response began at `start`, and its body `body_after` later.
  void begin(std::chrono::milliseconds body_after) {
    policy.on_begun(start);
    policy.on_read(start + body_after, 1);
  }
  Decision check(std::chrono::milliseconds after, SlowResponsePolicy::Progress progress, bool may_retry) {
    return policy.check(start + after, progress, may_retry);
  }

  const Clock::Steady::time_point start{1h};
  SlowResponsePolicy policy;
};

TEST_F(SlowResponsePolicyTest, ResponseThatStoppedIsGivenUpOnlyForARetry) {
  begin(0ms);
  for (const bool is_streamable : {false, true}) {
    EXPECT_EQ(check(250ms, {is_streamable, 4}, true), Decision::kGiveUp);
    EXPECT_EQ(check(250ms, {is_streamable, 4}, false), Decision::kWait);
  }
}

TEST_F(SlowResponsePolicyTest, BodyThatArrivesSlowlyIsNotGivenUp) {
  begin(0ms);
  EXPECT_EQ(check(250ms, {true, 4000}, true), Decision::kWait);
  EXPECT_EQ(check(1250ms, {false, 20000}, true), Decision::kWait) << "a small response with a length";
}

TEST_F(SlowResponsePolicyTest, BodyOfUnknownLengthIsStreamedOnceItIsFastOrHeldForASecond) {
  begin(900ms);
  EXPECT_EQ(check(1000ms, {true, 8000}, true), Decision::kWait);
  EXPECT_EQ(check(1150ms, {true, 16000}, true), Decision::kStream);
  EXPECT_EQ(check(1850ms, {true, 10000}, true), Decision::kWait);
  EXPECT_EQ(check(1900ms, {true, 10000}, true), Decision::kStream);
  EXPECT_EQ(check(1900ms, {false, 10000}, true), Decision::kWait);
}

TEST_F(SlowResponsePolicyTest, AtTheEndOfTheRequestOnlyAResponseThatMayBecomeLargeIsStreamed) {
  policy.on_begun(start);
  EXPECT_EQ(policy.decide_at_request_end(start + 700ms, {true, 0}), Decision::kStream);
  EXPECT_EQ(policy.decide_at_request_end(start + 700ms, {false, 0}), Decision::kGiveUp);
  policy.on_read(start, 4);
  EXPECT_EQ(policy.decide_at_request_end(start + 700ms, {true, 4}), Decision::kGiveUp);
  EXPECT_EQ(policy.decide_at_request_end(start + 700ms, {true, 30000}), Decision::kStream);
}

}  // namespace
}  // namespace nettleyoke::node
