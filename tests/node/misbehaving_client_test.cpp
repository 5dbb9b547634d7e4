/// @file
/// Clients that are slow, silent or malformed.
#include <gtest/gtest.h>

#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// Clients must not connect and say nothing for as long as they please.
TEST(MisbehavingClient, SilentConnectionIsClosedSoon) {
  OneServerDeployment deployment;
  const auto start = std::chrono::steady_clock::now();
  Connection client = deployment.client();
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_LT(seconds_since(start), 10) << "3 s are allowed; 15 s were once given";
}

// The time must not start with the first byte, or anew with each.
TEST(MisbehavingClient, SlowFirstRequestTimesOutByTheAgeOfItsConnection) {
  OneServerDeployment deployment;
  const auto start = std::chrono::steady_clock::now();
  Connection client = deployment.client();
  std::this_thread::sleep_for(1500ms);
  client.write("POST /close/k HTTP/1.1\r\n");
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_LT(seconds_since(start), 5.5);
}

// Silent connections must not push out clients that wait between two requests.
TEST(MisbehavingClient, SilentConnectionsAreEvictedBeforeServedOnes) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.sockets = 64});  // 20 client connections
  Connection usual = deployment.client();
  ASSERT_EQ(status_of(exchange(usual, {.id = "first"})), 200);
  std::vector<Connection> silent;
  silent.reserve(60);
  for (int i = 0; i < 60; ++i) silent.push_back(deployment.client());
  // All of them have been accepted once a later one is served.
  ASSERT_TRUE(deployment.eventually_answers_with_status(200));
  EXPECT_EQ(status_of(exchange(usual, {.id = "second"})), 200) << "its connection is still there";
}

// Connections that sent one request and stay must not push out one that is slow with its first.
TEST(MisbehavingClient, SlowNewConnectionOutlivesLongIdleOnes) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.sockets = 64});  // 20 client connections
  std::vector<Connection> idle;
  for (int i = 0; i < 19; ++i) {
    idle.push_back(deployment.client());
    idle.back().write(RequestBuilder{.id = "idle" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(idle.back().read_message()), 200);
  }
  std::this_thread::sleep_for(2500ms);  // from now on they may be evicted without harm
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

TEST(MisbehavingClient, PipelinedErrorsAreAnsweredAndTheConnectionStays) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  client.write(RequestBuilder{.id = "", .body = ""}.text() +
               RequestBuilder{.request_class = "unknown", .body = ""}.text() + RequestBuilder{}.text());
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(MisbehavingClient, TimeoutOfDaysIsCutToThatOfTheClass) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {.timeout_ms = "900000000"})), 200);
  EXPECT_LE(std::stoi(field_of(deployment.server.requests()[0], "X-Timeout-Ms")), 15000);
}

TEST(MisbehavingClient, ExpectContinueIsAnsweredBeforeTheBody) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  const std::string all = RequestBuilder{.fields = "Expect: 100-continue\r\n"}.text();
  client.write(all.substr(0, all.size() - 2));
  EXPECT_EQ(status_of(client.read_message()), 100);
  client.write("{}");
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// Whatever leaves open where the body ends may hide another request in it.
TEST(MisbehavingClient, AmbiguousLengthsAreNeverForwarded) {
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
    const std::string answer = client.read_message();
    EXPECT_TRUE(answer.empty() || status_of(answer) >= 400) << fields << answer;
    EXPECT_EQ(client.read_to_end().find("200 OK"), std::string::npos) << fields;
  }
  EXPECT_TRUE(deployment.server.requests().empty());
}

}  // namespace
}  // namespace nettleyoke::node
