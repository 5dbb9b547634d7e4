/// @file
/// How the outcome of an attempt decides on a retry. A request that its server has certainly not processed
/// may be retried even if its class is non-idempotent; one that may have been processed fails.
#include <gtest/gtest.h>

#include <functional>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(AttemptOutcome, RejectionMarkedAsNotProcessedIsRetried) {
  FakeServer server(always_reply(503, "", "X-Not-Processed: 1\r\n"));
  Deployment deployment({&server});
  Connection client = deployment.client();
  const std::string response = exchange(client, {});
  EXPECT_EQ(status_of(response), 503);
  EXPECT_FALSE(field_of(response, "Retry-After").empty());
  EXPECT_EQ(server.requests().size(), 3U) << "the settings allow three attempts";
}

// Expects that a non-idempotent request fails after one attempt, because the server may have processed it.
void expect_failure_without_retry(const FakeServer::Reply& reply) {
  OneServerDeployment deployment(reply);
  Connection client = deployment.client();
  const std::string response = exchange(client, {});
  EXPECT_EQ(status_of(response), 502) << response;
  EXPECT_EQ(deployment.server.requests().size(), 1U)
      << "a non-idempotent request that may have been processed must not be retried";
  EXPECT_TRUE(deployment.program->is_running());
}

TEST(AttemptOutcome, ServerErrorFailsWithoutRetry) { expect_failure_without_retry(always_reply(500, "no")); }

TEST(AttemptOutcome, Status503WithoutNotProcessedHeaderFailsWithoutRetry) {
  expect_failure_without_retry(always_reply(503, "no"));
}

TEST(AttemptOutcome, UnknownValueOfNotProcessedHeaderIsIgnored) {
  expect_failure_without_retry(always_reply(504, "no", "X-Not-Processed: 0\r\n"));
}

TEST(AttemptOutcome, NotProcessedHeaderOnAnotherStatusIsIgnored) {
  expect_failure_without_retry(always_reply(404, "no", "X-Not-Processed: 1\r\n"));
}

TEST(AttemptOutcome, CloseWithoutResponseFailsWithoutRetry) {
  expect_failure_without_retry([](Connection&, const std::string&) { return false; });
}

TEST(AttemptOutcome, ResetWithoutResponseFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    connection.send_reset_on_close();
    return false;
  });
}

TEST(AttemptOutcome, TruncatedResponseFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    return false;
  });
}

TEST(AttemptOutcome, ResponseWithoutLengthOrCloseFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    return false;
  });
}

TEST(AttemptOutcome, MalformedResponseFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    return connection.write(std::string("\0\x7f~?\r\n\r\n", 8));
  });
}

TEST(AttemptOutcome, EndlessResponseHeadFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * kKibibyte, 'x'));
  });
}

TEST(AttemptOutcome, OversizedResponseBodyFailsWithoutRetry) {
  expect_failure_without_retry([](Connection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
  });
}

// The attempt must end as soon as the response head has arrived, not at the client timeout. The server waits
// until the node closes the connection.
TEST(AttemptOutcome, OversizedResponseBodyEndsTheAttemptOnceItsHeadArrives) {
  std::atomic<bool> connection_open = true;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
    connection.receive_more();  // returns false once the node closes the connection
    connection_open = false;
    return false;
  });
  Connection client = deployment.client();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(exchange(client, {})), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "must end before the client timeout of 15 s";
  EXPECT_TRUE(eventually([&] { return !connection_open; }));
}

TEST(AttemptOutcome, InterimResponsesAreSkipped) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    return connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
                            http_response(200, "ok"));
  });
  Connection client = deployment.client();
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(body_of(exchange(client, {.id = "r" + std::to_string(i)})), "ok");
  }
  EXPECT_EQ(deployment.server.listener().accepted(), 1);
}

TEST(AttemptOutcome, ChunkedResponseThatArrivesInPiecesIsAssembled) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    for (const char c : std::string(
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
      if (!connection.write(std::string(1, c))) return false;
    }
    return true;
  });
  Connection client = deployment.client();
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(body_of(exchange(client, {.id = "r" + std::to_string(i)})), "abcde");
  }
}

// A response that stalls must not hold up its request until the client timeout, because a retry could still
// serve the request.
void expect_retry_after(const std::function<void(Connection&)>& send_partial_response) {
  std::atomic<int> requests = 0;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    if (requests++ > 0) return connection.write(http_response(200, "complete"));
    send_partial_response(connection);
    while (connection.receive_more()) {  // until the node closes the connection
    }
    return false;
  });
  Connection client = deployment.client();
  const std::string response = exchange(client, {.request_class = "look", .method = "GET", .body = ""});
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(body_of(response), "complete");
  EXPECT_TRUE(eventually([&] { return deployment.program->count_in_log("s0 reset after") == 1; }))
      << deployment.program->log();
}

TEST(AttemptOutcome, ResponseThatStallsInItsHeadIsRetried) {
  expect_retry_after([](Connection& connection) { connection.write("HTTP/1.1 200 OK\r\nContent-L"); });
}

TEST(AttemptOutcome, ResponseThatStallsInItsBodyIsRetried) {
  expect_retry_after(
      [](Connection& connection) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"); });
}

TEST(AttemptOutcome, ResponseThatTricklesIsRetried) {
  expect_retry_after([](Connection& connection) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
    for (int i = 0; i < 1000 && connection.write("x"); ++i) std::this_thread::sleep_for(20ms);
  });
}

TEST(AttemptOutcome, BytesAfterAResponseAreNotUsedForTheNextRequest) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    return connection.write(http_response(200, "right") + http_response(200, "wrong"));
  });
  Connection client = deployment.client();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(body_of(exchange(client, {.id = "r" + std::to_string(i)})), "right");
  }
}

TEST(AttemptOutcome, RefusedConnectIsRejectedInsteadOfFailed) {
  FakeDiscovery discovery;
  NodeProcess program(
      config_with_server("127.0.0.1:" + std::to_string(unused_port()), discovery.address()).text());
  Connection client = Connection::to(program.port());
  EXPECT_EQ(status_of(exchange(client, {})), 503) << "the server never received the non-idempotent request";
}

TEST(AttemptOutcome, TimedOutAttemptFailsWithoutRetryAndItsConnectionIsClosed) {
  OneServerDeployment deployment(never_reply());
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {.timeout_ms = "300"})), 502);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
  EXPECT_TRUE(eventually([&] { return deployment.server.closed_by_node() == 1; }));
}

}  // namespace
}  // namespace nettleyoke::node
