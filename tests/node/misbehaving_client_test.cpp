/// @file
/// Clients that are slow or silent, or that send malformed requests.
#include <gtest/gtest.h>

#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// Clients must not keep a connection open indefinitely without sending anything.
TEST(MisbehavingClient, SilentConnectionIsClosedWithinSeconds) {
  OneServerDeployment deployment;
  const auto start = std::chrono::steady_clock::now();
  Connection client = deployment.client();
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_LT(seconds_since(start), 10) << "the node must close it after 3 s; it once took 15 s";
}

// The timeout must start when the connection is accepted, not at the first byte, and must not restart at each
// byte.
TEST(MisbehavingClient, TimeoutOfASlowFirstRequestStartsWithItsConnection) {
  OneServerDeployment deployment;
  const auto start = std::chrono::steady_clock::now();
  Connection client = deployment.client();
  std::this_thread::sleep_for(1500ms);
  client.write("POST /close/k HTTP/1.1\r\n");
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_LT(seconds_since(start), 5.5);
}

// Silent connections must not cause the eviction of clients that are idle between two requests.
TEST(MisbehavingClient, SilentConnectionsAreEvictedBeforeIdleOnes) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.sockets = 64});  // 20 client connections
  Connection idle = deployment.client();
  ASSERT_EQ(status_of(exchange(idle, {.id = "first"})), 200);
  std::vector<Connection> silent;
  silent.reserve(60);
  for (int i = 0; i < 60; ++i) silent.push_back(deployment.client());
  // Connections are accepted in order: once a later one is served, all silent ones have been accepted.
  ASSERT_TRUE(deployment.eventually_answers_with_status(200));
  EXPECT_EQ(status_of(exchange(idle, {.id = "second"})), 200) << "its connection must still be open";
}

// Connections that are idle after one request must not cause the eviction of a new one that is slow with its
// first request.
TEST(MisbehavingClient, SlowNewConnectionOutlivesLongIdleOnes) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.sockets = 64});  // 20 client connections
  std::vector<Connection> idle;
  for (int i = 0; i < 19; ++i) {
    idle.push_back(deployment.client());
    idle.back().write(RequestBuilder{.id = "idle" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(idle.back().read_message()), 200);
  }
  // Longer than the 2 s after which an idle connection may be closed without harm.
  std::this_thread::sleep_for(2500ms);
  Connection slow = deployment.client();
  const std::string text = RequestBuilder{.id = "slow"}.text();
  slow.write(text.substr(0, 40));
  for (int i = 0; i < 10; ++i) {
    Connection other = deployment.client();
    ASSERT_EQ(status_of(exchange(other, {.id = "other" + std::to_string(i)})), 200);
    idle.push_back(std::move(other));
  }
  slow.write(text.substr(40));
  EXPECT_EQ(status_of(slow.read_message()), 200);
}

TEST(MisbehavingClient, PipelinedInvalidRequestsAreAnsweredAndTheConnectionStaysOpen) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  client.write(RequestBuilder{.id = "", .body = ""}.text() +
               RequestBuilder{.request_class = "unknown", .body = ""}.text() + RequestBuilder{}.text());
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(MisbehavingClient, TimeoutOfDaysIsCappedAtThatOfTheClass) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {.timeout_ms = "900000000"})), 200);
  EXPECT_LE(std::stoi(field_of(deployment.server.requests()[0], "X-Timeout-Ms")), 15000);
}

TEST(MisbehavingClient, ExpectContinueIsAnsweredBeforeTheBodyIsSent) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  const std::string request = RequestBuilder{.fields = "Expect: 100-continue\r\n"}.text();
  client.write(request.substr(0, request.size() - 2));
  EXPECT_EQ(status_of(client.read_message()), 100);
  client.write("{}");
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// If the head does not define where the body ends, the body can hide another request (request smuggling).
TEST(MisbehavingClient, RequestWithAnAmbiguousLengthIsNotForwarded) {
  OneServerDeployment deployment;
  const std::string hidden = RequestBuilder{.id = "hidden"}.text();
  for (const std::string fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 5\r\n", "Content-Length: -5\r\n", "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Content-Length : 5\r\n"}) {
    Connection client = deployment.client();
    client.write(RequestBuilder{.body = "", .fields = fields}.text() + "0\r\n\r\n" + hidden);
    const std::string response = client.read_message();
    EXPECT_TRUE(response.empty() || status_of(response) >= 400) << fields << response;
    EXPECT_EQ(client.read_to_end().find("200 OK"), std::string::npos) << fields;
  }
  EXPECT_TRUE(deployment.server.requests().empty());
}

}  // namespace
}  // namespace nettleyoke::node
