/// @file
/// Requests that are forwarded to a server: what client and server receive, deadlines and the request log.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(RequestForwarding, RequestAndResponsePassUnchanged) {
  OneServerDeployment deployment(always_reply(200, "the answer", "Content-Type: text/x-mark\r\n"));
  Connection client = deployment.client();
  const std::string response = exchange(
      client,
      RequestBuilder{
          .request_class = "mark", .body = "payload", .timeout_ms = "9000", .idempotency_key = "k-77"});
  EXPECT_EQ(status_of(response), 200) << response;
  EXPECT_EQ(body_of(response), "the answer");
  EXPECT_EQ(field_of(response, "Content-Type"), "text/x-mark");
  ASSERT_EQ(deployment.server.requests().size(), 1U);
  const std::string request = deployment.server.requests()[0];
  EXPECT_EQ(request.rfind("POST /mark/k1?x=1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_EQ(field_of(request, "X-Request-ID"), "r1");
  EXPECT_EQ(field_of(request, "Idempotency-Key"), "k-77");
  EXPECT_EQ(body_of(request), "payload");
  // The node sends the time it has left, which is less than the timeout that the client sent.
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
  std::string requests;
  for (int i = 0; i < 20; ++i) requests += RequestBuilder{.id = "r" + std::to_string(i)}.text();
  client.write(requests);
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

// The margin before the client timeout is a fraction of that timeout, so that a request with a short timeout
// still reaches a server. One success in 200 requests is enough because the machine may be slow.
TEST(RequestDeadline, RequestWithAShortTimeoutIsStillForwarded) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  int served = 0;
  for (int i = 0; i < 200 && served == 0; ++i) {
    RequestBuilder request = get_request("r" + std::to_string(i));
    request.timeout_ms = "35";
    const std::string response = exchange(client, request);
    ASSERT_FALSE(response.empty());
    served += status_of(response) == 200 ? 1 : 0;
  }
  EXPECT_GT(served, 0);
}

// The node learns the attempt timeout from response times, so that it is short after quick responses. The
// server must still be sent all the time that the client has left, because it shares that time with the tiers
// behind it.
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

// A failed request is logged with its id and attempts; a successful one is not logged.
TEST(RequestLog, OnlyTheFailedRequestIsLoggedWithItsAttempts) {
  OneServerDeployment deployment([](Connection& connection, const std::string& request) {
    const bool succeeds = field_of(request, "X-Request-ID") == "good";
    return connection.write(succeeds ? http_response(200, "ok") : http_response(500, "no"));
  });
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {.id = "good"})), 200);
  EXPECT_EQ(status_of(exchange(client, {.id = "bad"})), 502);
  EXPECT_TRUE(eventually([&] { return deployment.program->count_in_log("request bad,") == 1; }))
      << deployment.program->log();
  EXPECT_EQ(deployment.program->count_in_log("s0 error after"), 1);
  EXPECT_EQ(deployment.program->count_in_log("request good"), 0);
}

// The attempt timeout, the response and the client timeout coincide: the client must get exactly one
// response.
TEST(RequestDeadline, TimeoutAndLateResponseTogetherGiveOneResponse) {
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
    const std::string next = client.read_to_end();
    EXPECT_EQ(body_of(next), "ok\n") << "only the response to the health check must follow";
  }
}

}  // namespace
}  // namespace nettleyoke::node
