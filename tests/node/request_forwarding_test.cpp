/// @file
/// What a client sees of a request that is forwarded and answered.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(RequestForwarding, RequestAndResponsePassUnchanged) {
  OneServerDeployment deployment(always_reply(200, "the answer", "Content-Type: text/x-mark\r\n"));
  Connection client = deployment.client();
  const std::string answer = exchange(
      client,
      RequestBuilder{
          .request_class = "mark", .body = "payload", .timeout_ms = "9000", .idempotency_key = "k-77"});
  EXPECT_EQ(status_of(answer), 200) << answer;
  EXPECT_EQ(body_of(answer), "the answer");
  EXPECT_EQ(field_of(answer, "Content-Type"), "text/x-mark");
  ASSERT_EQ(deployment.server.requests().size(), 1U);
  const std::string request = deployment.server.requests()[0];
  EXPECT_EQ(request.rfind("POST /mark/k1?x=1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_EQ(field_of(request, "X-Request-ID"), "r1");
  EXPECT_EQ(field_of(request, "Idempotency-Key"), "k-77");
  EXPECT_EQ(body_of(request), "payload");
  // The time that the node timeout_ms, which is less than what the client does.
  const int timeout_ms = std::stoi(field_of(request, "X-Timeout-Ms"));
  EXPECT_GT(timeout_ms, 0);
  EXPECT_LT(timeout_ms, 9000);
}

TEST(RequestForwarding, ConnectionsOnBothSidesAreReused) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(status_of(exchange(client, {.id = "r" + std::to_string(i)})), 200);
  }
  EXPECT_EQ(deployment.server.listener().accepted(), 1);
}

TEST(RequestForwarding, RequestThatArrivesInPiecesIsServed) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  for (const char c : RequestBuilder{}.text()) client.write(std::string(1, c));
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(RequestForwarding, PipelinedRequestsAreAnsweredInOrder) {
  OneServerDeployment deployment([](Connection& connection, const std::string& request) {
    return connection.write(http_response(200, field_of(request, "X-Request-ID")));
  });
  Connection client = deployment.client();
  std::string all;
  for (int i = 0; i < 20; ++i) all += RequestBuilder{.id = "r" + std::to_string(i)}.text();
  client.write(all);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(body_of(client.read_message()), "r" + std::to_string(i));
}

TEST(RequestForwarding, DisconnectOfTheClientEndsTheAttempt) {
  OneServerDeployment deployment(never_reply());
  Connection client = deployment.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  client.close();
  EXPECT_TRUE(eventually([&] { return deployment.server.closed_by_node() == 1; }));
}

// The margin before the client timeout is a part of the time given: a request with little time reaches a
// server too. One of many is enough, for a machine may be slow.
TEST(RequestDeadline, RequestWithAShortTimeoutIsStillForwarded) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  int served = 0;
  for (int i = 0; i < 200 && served == 0; ++i) {
    RequestBuilder request = get_request("r" + std::to_string(i));
    request.timeout_ms = "35";
    const std::string answer = exchange(client, request);
    ASSERT_FALSE(answer.empty());
    served += status_of(answer) == 200 ? 1 : 0;
  }
  EXPECT_GT(served, 0);
}

// The attempt timeout is learned, and short where responses were quick. The server still gets all the time
// that is left to the client, to share with the tiers behind it.
TEST(RequestDeadline, QuickResponsesDoNotShortenTheTimeoutSentToTheServer) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  std::vector<int> forwarded_timeouts;
  for (int i = 0; i < 60; ++i) {
    RequestBuilder request = get_request("r" + std::to_string(i));
    request.timeout_ms = "4000";
    ASSERT_EQ(status_of(exchange(client, request)), 200);
    forwarded_timeouts.push_back(std::stoi(field_of(deployment.server.requests().back(), "X-Timeout-Ms")));
  }
  EXPECT_LT(forwarded_timeouts.front(), 4000);
  EXPECT_GT(forwarded_timeouts.back(), forwarded_timeouts.front() * 9 / 10);
}

// A request that failed can be followed by its id; one that succeeded leaves no line.
TEST(RequestLog, FailedRequestIsLoggedWithItsAttempts) {
  OneServerDeployment deployment([](Connection& connection, const std::string& request) {
    const bool good = field_of(request, "X-Request-ID") == "good";
    return connection.write(good ? http_response(200, "ok") : http_response(500, "no"));
  });
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {.id = "good"})), 200);
  EXPECT_EQ(status_of(exchange(client, {.id = "bad"})), 502);
  EXPECT_TRUE(eventually([&] { return deployment.program->count_in_log("request bad,") == 1; }))
      << deployment.program->log();
  EXPECT_EQ(deployment.program->count_in_log("s0 error after"), 1);
  EXPECT_EQ(deployment.program->count_in_log("request good"), 0);
}

// The timeout of the attempt, its response and the client timeout come together: one answer, or a close.
TEST(RequestDeadline, TimeoutAndLateResponseTogetherGiveOneAnswer) {
  OneServerDeployment deployment([](Connection& connection, const std::string& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(field_of(request, "X-Timeout-Ms")) - 1));
    return connection.write(http_response(200, "ok"));
  });
  std::vector<Connection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(
        RequestBuilder{.id = "r" + std::to_string(i), .timeout_ms = std::to_string(200 + i)}.text());
  }
  for (int i = 0; i < 40; ++i) {
    Connection& client = clients[static_cast<std::size_t>(i)];
    const int first = status_of(client.read_message());
    EXPECT_TRUE(first == 200 || first == 502 || first == 503) << first;
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string rest = client.read_to_end();
    EXPECT_EQ(body_of(rest), "ok\n") << "nothing but the next response follows";
  }
}

}  // namespace
}  // namespace nettleyoke::node
