/// @file
/// Requests whose body is still arriving, and responses in progress.
#include <gtest/gtest.h>

#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

Request request_with_body_in_progress(const std::string& id) {
  Request request;
  request.id = id;
  request.time_left = 6;
  request.body_in_progress = true;
  return request;
}

// Clients that take seconds to send a body or to read a response would otherwise use up the concurrency limit
// of the tier.
TEST(BodyInProgress, DoesNotCountAsInFlight) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(1));
  for (int i = 0; i < 50; ++i)
    ASSERT_EQ(actions_of<StartAttempt>(replica.at(0, request_with_body_in_progress("c" + std::to_string(i))))
                  .size(),
              1U)
        << i;
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  // Once their bodies are complete, the requests count as in flight, and further requests are rejected.
  for (int i = 0; i < 50; ++i) replica.at(0, RequestBodyComplete{"c" + std::to_string(i)});
  EXPECT_EQ(actions_of<Reject>(replica.request("late")).size(), 1U);
  // Once its response has started, a request no longer counts as in flight.
  for (int i = 0; i < 50; ++i) replica.at(0, ResponseStarted{"c" + std::to_string(i), 0, 0.1});
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("capacity")).size(), 1U);
  for (int i = 0; i < 50; ++i) {
    const Outcome outcome = i % 2 == 0 ? Outcome::kSucceeded : Outcome::kReset;
    EXPECT_TRUE(
        replica.at(replica.now, AttemptResult{"c" + std::to_string(i), 0, outcome, 0.1, true}).empty());
  }
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("after")).size(), 1U);
}

TEST(BodyInProgress, ClientTimeoutStartsAtTheLastByteOfTheBody) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  ASSERT_EQ(actions_of<StartAttempt>(replica.at(0, request_with_body_in_progress("c"))).size(), 1U);
  replica.at(20, RequestBodyComplete{"c"});
  const auto retries =
      actions_of<StartAttempt>(replica.at(20.5, AttemptResult{"c", 0, Outcome::kRejected, 0.5}));
  ASSERT_EQ(retries.size(), 1U) << "the 20 s that the body took are not subtracted";
  EXPECT_LE(retries[0].timeout, 5.5);
}

TEST(BodyInProgress, ConsumedBodyIsNotRetried) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(2));
  ASSERT_EQ(actions_of<StartAttempt>(replica.at(0, request_with_body_in_progress("c"))).size(), 1U);
  AttemptResult failed{"c", 0, Outcome::kConnectFailed, 0.1};
  failed.body_consumed = true;
  const auto actions = replica.at(0.1, failed);
  EXPECT_TRUE(actions_of<StartAttempt>(actions).empty());
  EXPECT_EQ(actions_of<Reject>(actions).size(), 1U) << "the attempt never ran, so a client retry is harmless";
}

bool may_retry_after_the_first_attempt(const RequestClass& request_class, int servers) {
  ReplicaUnderTest replica(basic_settings(request_class));
  replica.at(0, members(servers));
  EXPECT_EQ(actions_of<StartAttempt>(replica.request("r")).size(), 1U);
  return replica.balancer.may_retry_incomplete_response(0.3, "r");
}

TEST(IncompleteResponse, IsGivenUpOnlyWhereTheRequestWouldBeRetried) {
  EXPECT_TRUE(may_retry_after_the_first_attempt(class_of(Idempotency::kIdempotent), 2));
  EXPECT_TRUE(may_retry_after_the_first_attempt(class_of(Idempotency::kIdempotencyKey, DedupScope::kAll), 2));
  EXPECT_FALSE(may_retry_after_the_first_attempt(class_of(Idempotency::kNonIdempotent), 2));
}

TEST(IncompleteResponse, OfASecondServerIsWaitedFor) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  replica.request("r");
  replica.now = 0.3;
  AttemptResult given_up{"r", 0, Outcome::kReset, 0.3};
  given_up.response_incomplete = true;
  ASSERT_EQ(actions_of<StartAttempt>(replica.at(0.3, given_up)).size(), 1U);
  EXPECT_FALSE(replica.balancer.may_retry_incomplete_response(0.6, "r"));
  EXPECT_FALSE(replica.balancer.may_retry_incomplete_response(0.6, "unknown"));
}

}  // namespace
}  // namespace nettleyoke
