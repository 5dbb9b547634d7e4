/// @file
/// Requests that the node rejects because of their content or id, without sending them to a server.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

void expect_rejected(const std::string& request, int status) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  client.write(request);
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), status) << response;
  EXPECT_TRUE(deployment.server.requests().empty()) << "the request must not be forwarded";
  EXPECT_TRUE(deployment.program->is_running());
}

TEST(RequestRejection, MalformedRequestLineIsRejected) { expect_rejected("\x01\x02 what?\r\n\r\n", 400); }

TEST(RequestRejection, MissingRequestIdIsRejected) { expect_rejected(RequestBuilder{.id = ""}.text(), 400); }

TEST(RequestRejection, DuplicateRequestIdFieldIsRejected) {
  expect_rejected(RequestBuilder{.fields = "X-Request-ID: r2\r\n"}.text(), 400);
}

TEST(RequestRejection, UnknownClassIsRejected) {
  expect_rejected(RequestBuilder{.request_class = "unknown"}.text(), 400);
}

TEST(RequestRejection, ClassThatDiffersFromThePathIsRejected) {
  expect_rejected(RequestBuilder{.path = "/mark/k1"}.text(), 400);
}

TEST(RequestRejection, UnknownPathIsNotFound) {
  expect_rejected("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", 404);
}

TEST(RequestRejection, NonNumericTimeoutIsRejected) {
  expect_rejected(RequestBuilder{.timeout_ms = "soon"}.text(), 400);
}

TEST(RequestRejection, NegativeTimeoutIsRejected) {
  expect_rejected(RequestBuilder{.timeout_ms = "-5"}.text(), 400);
}

TEST(RequestRejection, TimeoutWithAUnitIsRejected) {
  expect_rejected(RequestBuilder{.timeout_ms = "50ms"}.text(), 400);
}

TEST(RequestRejection, TimeoutBeyondTheIntegerRangeIsRejected) {
  expect_rejected(RequestBuilder{.timeout_ms = "99999999999999999999"}.text(), 400);
}

TEST(RequestRejection, IdempotencyKeyOnANonIdempotentClassIsRejected) {
  expect_rejected(RequestBuilder{.idempotency_key = "k"}.text(), 400);
}

TEST(RequestRejection, MissingIdempotencyKeyIsRejected) {
  expect_rejected(RequestBuilder{.request_class = "mark"}.text(), 400);
}

TEST(RequestRejection, GetOnANonIdempotentClassIsRejected) {
  expect_rejected(RequestBuilder{.method = "GET", .body = ""}.text(), 400);
}

TEST(RequestRejection, PostOnAnIdempotentClassIsRejected) {
  expect_rejected(RequestBuilder{.request_class = "look"}.text(), 400);
}

TEST(RequestRejection, BodyOneByteOverTheLimitIsTooLarge) {
  expect_rejected(RequestBuilder{.body = "", .fields = "Content-Length: 67108865\r\n"}.text() + "x", 413);
}

TEST(RequestRejection, BodyOfGigabytesIsTooLarge) {
  expect_rejected("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000000\r\n\r\nx", 413);
}

TEST(RequestRejection, EndlessHeadIsTooLarge) {
  expect_rejected("GET /close/k HTTP/1.1\r\nX-Long: " + std::string(32 * kKibibyte, 'x'), 431);
}

TEST(RequestRejection, ContradictoryLengthsAreRejected) {
  expect_rejected(
      "POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400);
}

TEST(RequestRejection, RequestIdThatIsInFlightIsRejected) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate));
  Connection first = deployment.client();
  Connection second = deployment.client();
  first.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  EXPECT_EQ(status_of(exchange(second, {})), 400);
  gate.open();
  EXPECT_EQ(status_of(first.read_message()), 200);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
}

}  // namespace
}  // namespace nettleyoke::node
