/// @file
/// Unit tests of StreamedResponsePolicy: how long a streamed response may go on.
#include "upstream/streamed_response_policy.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

using namespace std::chrono_literals;
using BodySize = StreamedResponsePolicy::BodySize;
using TimePoint = StreamedResponsePolicy::TimePoint;
using Milliseconds = std::chrono::milliseconds;

class StreamedResponsePolicyTest : public ::testing::Test {
 protected:
  // Feeds the policy `bytes` each `pause` from the end of the request on.
  // @return how long after that end the response is given up, at most `limit`
  Milliseconds given_up_after(std::size_t bytes, Milliseconds pause, Milliseconds limit,
                              BodySize size = BodySize::kUnknown) {
    policy.start(request_end - 500ms, body_bytes, size, request_end);
    policy.on_read(request_end - 1ms, body_bytes, size);
    for (Milliseconds at = 0ms; at < limit; at += 1ms) {
      if (at % pause == 0ms) policy.on_read(request_end + at, body_bytes += bytes, size);
      if (request_end + at >= policy.due_at() && policy.should_give_up(request_end + at)) return at;
    }
    return limit;
  }

  const TimePoint request_end{1h};
  std::size_t body_bytes = 20000;
  StreamedResponsePolicy policy;
};

TEST_F(StreamedResponsePolicyTest, SilenceIsBoundedByTheRequestUnlessTheResponseIsLarge) {
  const auto silence = [this](TimePoint now, BodySize size, TimePoint end) {
    policy.start(now, 0, size, end);
    return policy.due_at() - now;
  };
  const TimePoint now{2h};
  EXPECT_EQ(silence(now, BodySize::kLarge, now), 3s);
  for (const BodySize size : {BodySize::kUnknown, BodySize::kSmall}) {
    EXPECT_EQ(silence(now, size, now + 1h), 3s);
    EXPECT_EQ(silence(now, size, TimePoint::max()), 3s);
    EXPECT_EQ(silence(now, size, now + 500ms), 900ms);
    EXPECT_EQ(silence(now, size, now - 2s), 400ms);
    EXPECT_TRUE(policy.should_give_up(policy.due_at()));
  }
}

TEST_F(StreamedResponsePolicyTest, BytesNowAndThenDoNotKeepAResponseThatMayBeSmall) {
  EXPECT_EQ(given_up_after(1, 100ms, 20s), 400ms);
  EXPECT_EQ(given_up_after(70, 10ms, 20s), 400ms) << "7 kB/s";
}

TEST_F(StreamedResponsePolicyTest, ResponseThatArrivesFastEnoughGoesOn) {
  EXPECT_EQ(given_up_after(6400, 100ms, 5s), 5s) << "64 kB/s";
  EXPECT_EQ(given_up_after(80, 10ms, 5s), 5s) << "8 kB/s";
  EXPECT_EQ(given_up_after(12000, 390ms, 5s), 5s) << "with pauses";
}

TEST_F(StreamedResponsePolicyTest, ResponseThatBecomesSlowOrSilentLaterIsGivenUp) {
  EXPECT_EQ(given_up_after(6400, 100ms, 1s), 1s);
  policy.on_read(request_end + 1s, body_bytes += 10, BodySize::kUnknown);
  EXPECT_LE(policy.due_at(), request_end + 1400ms);
  EXPECT_EQ(given_up_after(40000, 20s, 20s), 400ms) << "much at once, then silence";
}

TEST_F(StreamedResponsePolicyTest, SmallResponseEndsSoonAfterItsRequestHoweverFastItArrives) {
  EXPECT_EQ(given_up_after(6400, 100ms, 20s, BodySize::kSmall), 400ms);
}

TEST_F(StreamedResponsePolicyTest, LargeResponseMayTakeAsLongAsItArrives) {
  EXPECT_EQ(given_up_after(1, 2900ms, 60s, BodySize::kLarge), 60s);
}

TEST_F(StreamedResponsePolicyTest, WaitForTheClientIsNoSilenceOfTheServer) {
  policy.start(request_end - 500ms, body_bytes, BodySize::kUnknown, request_end);
  policy.start(request_end + 5s, body_bytes, BodySize::kUnknown, request_end);
  EXPECT_EQ(policy.due_at(), request_end + 5400ms);
}

}  // namespace
}  // namespace nettleyoke::node
