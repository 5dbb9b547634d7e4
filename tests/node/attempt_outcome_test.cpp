/// @file
/// How the end of an attempt is judged: what never ran may be retried, also for a non-idempotent class; what
/// may have run fails the request.
#include <gtest/gtest.h>

#include <functional>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(AttemptOutcome, RejectionMarkedAsNotProcessedIsRetried) {
  FakeServer full(always_reply(503, "", "X-Not-Processed: 1\r\n"));
  Deployment deployment({&full});
  Connection client = deployment.client();
  const std::string answer = exchange(client, {});
  EXPECT_EQ(status_of(answer), 503);
  EXPECT_FALSE(field_of(answer, "Retry-After").empty());
  EXPECT_EQ(full.requests().size(), 3U) << "as many attempts as the settings allow";
}

// A non-idempotent request fails after one attempt that may have run.
void expect_failed_once(const FakeServer::Reply& reply) {
  OneServerDeployment deployment(reply);
  Connection client = deployment.client();
  const std::string answer = exchange(client, {});
  EXPECT_EQ(status_of(answer), 502) << answer;
  EXPECT_EQ(deployment.server.requests().size(), 1U)
      << "a non-idempotent request that may have run is not retried";
  EXPECT_TRUE(deployment.program->is_running());
}

TEST(AttemptOutcome, ServerErrorMayHaveRun) { expect_failed_once(always_reply(500, "no")); }

TEST(AttemptOutcome, UnavailableWithoutTheMarkMayHaveRun) { expect_failed_once(always_reply(503, "no")); }

TEST(AttemptOutcome, UnknownValueOfTheMarkIsIgnored) {
  expect_failed_once(always_reply(504, "no", "X-Not-Processed: 0\r\n"));
}

TEST(AttemptOutcome, MarkOnAnotherStatusIsIgnored) {
  expect_failed_once(always_reply(404, "no", "X-Not-Processed: 1\r\n"));
}

TEST(AttemptOutcome, CloseWithoutResponseMayHaveRun) {
  expect_failed_once([](Connection&, const std::string&) { return false; });
}

TEST(AttemptOutcome, ResetWithoutResponseMayHaveRun) {
  expect_failed_once([](Connection& connection, const std::string&) {
    connection.close_with_reset();
    return false;
  });
}

TEST(AttemptOutcome, TruncatedResponseMayHaveRun) {
  expect_failed_once([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    return false;
  });
}

TEST(AttemptOutcome, ResponseWithoutLengthOrCloseIsTruncated) {
  expect_failed_once([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    return false;
  });
}

TEST(AttemptOutcome, MalformedResponseMayHaveRun) {
  expect_failed_once([](Connection& connection, const std::string&) {
    return connection.write(std::string("\0\x7f~?\r\n\r\n", 8));
  });
}

TEST(AttemptOutcome, EndlessResponseHeadMayHaveRun) {
  expect_failed_once([](Connection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * kKibibyte, 'x'));
  });
}

TEST(AttemptOutcome, OversizedResponseBodyMayHaveRun) {
  expect_failed_once([](Connection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
  });
}

// The attempt ends when the head has come, not with the client timeout: the server waits for that.
TEST(AttemptOutcome, OversizedResponseBodyEndsTheAttemptAtItsHead) {
  std::atomic<bool> connection_open = true;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
    connection.receive_more();  // true if something came; false at the node's close
    connection_open = false;
    return false;
  });
  Connection client = deployment.client();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(exchange(client, {})), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client waits 15 s";
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

// A response that stops half-way must not hold its request until the client timeout, as another attempt could
// still serve it.
void expect_retried_after(const std::function<void(Connection&)>& begin_answer) {
  std::atomic<int> asked = 0;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    if (asked++ > 0) return connection.write(http_response(200, "complete"));
    begin_answer(connection);
    while (connection.receive_more()) {  // up to the node's close
    }
    return false;
  });
  Connection client = deployment.client();
  const std::string answer = exchange(client, {.request_class = "look", .method = "GET", .body = ""});
  EXPECT_EQ(status_of(answer), 200);
  EXPECT_EQ(body_of(answer), "complete");
  EXPECT_TRUE(eventually([&] { return deployment.program->count_in_log("s0 reset after") == 1; }))
      << deployment.program->log();
}

TEST(AttemptOutcome, ResponseThatStallsInItsHeadIsRetried) {
  expect_retried_after([](Connection& connection) { connection.write("HTTP/1.1 200 OK\r\nContent-L"); });
}

TEST(AttemptOutcome, ResponseThatStallsInItsBodyIsRetried) {
  expect_retried_after(
      [](Connection& connection) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"); });
}

TEST(AttemptOutcome, ResponseThatTricklesIsRetried) {
  expect_retried_after([](Connection& connection) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
    for (int i = 0; i < 1000 && connection.write("x"); ++i) std::this_thread::sleep_for(20ms);
  });
}

TEST(AttemptOutcome, BytesBehindAResponseDoNotAnswerTheNextRequest) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    return connection.write(http_response(200, "right") + http_response(200, "wrong"));
  });
  Connection client = deployment.client();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(body_of(exchange(client, {.id = "r" + std::to_string(i)})), "right");
  }
}

TEST(AttemptOutcome, RefusedConnectIsRejected) {
  FakeDiscovery discovery;
  NodeProcess program(
      config_with_server("127.0.0.1:" + std::to_string(unused_port()), discovery.address()).text());
  Connection client = Connection::to(program.port());
  EXPECT_EQ(status_of(exchange(client, {})), 503)
      << "rejected, not failed: a non-idempotent request that never ran";
}

TEST(AttemptOutcome, TimedOutAttemptMayHaveRunAndItsConnectionIsClosed) {
  OneServerDeployment deployment(never_reply());
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {.timeout_ms = "300"})), 502);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
  EXPECT_TRUE(eventually([&] { return deployment.server.closed_by_node() == 1; }));
}

}  // namespace
}  // namespace nettleyoke::node
