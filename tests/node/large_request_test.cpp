/// @file
/// Requests with large bodies: slow clients, connections that end midway, and the memory limit.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "large_body.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// A server that reads complete requests of any size and framing, and records their bodies.
class BodyServer {
 public:
  BodyServer() : listener_([this](Connection& connection) { serve(connection); }) {}
  std::vector<std::string> bodies() {
    const std::lock_guard lock(mutex_);
    return bodies_;
  }
  Listener& listener() { return listener_; }

 private:
  void serve(Connection& connection) {
    std::string received;
    for (std::string piece = connection.read_some(); !piece.empty(); piece = connection.read_some()) {
      received += piece;
      const std::optional<std::string> body = complete_body_of(received);
      if (!body) continue;
      record(*body);
      received.clear();
      connection.write(http_response(200, "ok"));
    }
  }

  // The body of a request; nullopt while the request is incomplete.
  static std::optional<std::string> complete_body_of(const std::string& request) {
    const std::size_t head_end = request.find("\r\n\r\n");
    if (head_end == std::string::npos) return std::nullopt;
    const std::string head = request.substr(0, head_end + 2);
    if (field_of(head, "Transfer-Encoding") == "chunked") {
      if (!request.ends_with("0\r\n\r\n")) return std::nullopt;
      return dechunked(body_of(request)).value_or("broken");
    }
    if (request.size() < head_end + 4 + std::stoul(field_of(head, "Content-Length"))) return std::nullopt;
    return body_of(request);
  }

  void record(const std::string& body) {
    const std::lock_guard lock(mutex_);
    bodies_.push_back(body);
  }

  std::mutex mutex_;
  std::vector<std::string> bodies_;
  Listener listener_;
};

// A node in front of a server that is not a FakeServer.
std::unique_ptr<NodeProcess> node_in_front_of(const Listener& server) {
  return std::make_unique<NodeProcess>(config_with_server(server.address()).text());
}

TEST(LargeRequest, BodiesInBothFramingsArriveUnchanged) {
  BodyServer server;
  const auto node = node_in_front_of(server.listener());
  Connection client = Connection::to(node->port());
  int count = 0;
  for (const std::size_t size :
       {std::size_t{65536}, std::size_t{65537}, kMebibyte, kMebibyte + 1, 8 * kMebibyte}) {
    const std::string body = large_body(size);
    EXPECT_EQ(status_of(exchange(client, {.id = "l" + std::to_string(++count), .body = body})), 200) << size;
    client.write(RequestBuilder{.id = "c" + std::to_string(count),
                                .body = "",
                                .fields = "Transfer-Encoding: chunked\r\n"}
                     .text() +
                 chunked(body, 50000, ";x=y") + "X-Trailer: t\r\n\r\n");
    EXPECT_EQ(status_of(client.read_message()), 200) << size;
    const auto bodies = server.bodies();
    ASSERT_EQ(bodies.size(), static_cast<std::size_t>(2 * count));
    EXPECT_EQ(bodies[bodies.size() - 2], body);
    EXPECT_EQ(bodies.back(), body);
  }
}

TEST(LargeRequest, SlowBodyAfterContinueIsServed) {
  BodyServer server;
  const auto node = node_in_front_of(server.listener());
  const std::string body = large_body(200000);
  const std::string text = RequestBuilder{.body = body, .fields = "Expect: 100-continue\r\n"}.text();
  const std::size_t head = text.size() - body.size();
  Connection client = Connection::to(node->port());
  client.write(text.substr(0, head));
  EXPECT_EQ(status_of(client.read_message()), 100);
  for (std::size_t at = head; at < text.size(); at += 12800) {  // 64 kB a second, 3 s in total
    client.write(text.substr(at, 12800));
    std::this_thread::sleep_for(200ms);
  }
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_EQ(server.bodies().size(), 1U);
  EXPECT_EQ(server.bodies()[0], body);
}

TEST(LargeRequest, StalledBodyTimesOutAndIsNeverForwarded) {
  BodyServer server;
  const auto node = node_in_front_of(server.listener());
  const std::string text = RequestBuilder{.body = large_body(400000)}.text();
  Connection client = Connection::to(node->port());
  client.write(text.substr(0, 200000));
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_EQ(server.listener().accepted(), 0);
}

// The node must not retry with an incomplete body, and must not let the client wait until its timeout.
TEST(LargeRequest, ServerResetMidwayIsAnsweredAtOnceWithoutRetry) {
  Listener server([](Connection& connection) {
    std::size_t received = 0;
    for (std::size_t size = 1; size > 0 && received < 3 * kMebibyte / 2; received += size) {
      size = connection.read_some().size();
    }
    connection.reset();
  });
  const auto node = node_in_front_of(server);
  const std::string body = large_body(8 * kMebibyte);
  Connection client = Connection::to(node->port());
  const std::string text = RequestBuilder{.body = body}.text();
  client.write(text.substr(0, 2 * kMebibyte));
  EXPECT_EQ(status_of(client.read_message()), 503)
      << "without its last byte the server can't have processed it";
  EXPECT_EQ(server.accepted(), 1);
}

// The server resets while the client pauses, so that the node has no write in progress that would fail.
TEST(LargeRequest, ServerResetWhileTheClientPausesIsAnsweredAtOnce) {
  std::atomic<int> received = 0;
  Gate gate;
  Listener server([&](Connection& connection) {
    for (std::string piece = connection.read_some(); !piece.empty(); piece = connection.read_some()) {
      received += static_cast<int>(piece.size());
      if (received > static_cast<int>(2 * kMebibyte)) break;
    }
    gate.wait();
    connection.reset();
  });
  const auto node = node_in_front_of(server);
  const std::string text = RequestBuilder{.body = large_body(8 * kMebibyte)}.text();
  Connection client = Connection::to(node->port());
  client.write(text.substr(0, 2 * kMebibyte + 4000));
  ASSERT_TRUE(eventually([&] { return received > static_cast<int>(2 * kMebibyte); }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 503);
}

// Prevents this failure: a server that hangs keeps the node from reading the end of an upload, and the
// client, which has sent all of it, gets its answer too late (lost). An answer up to 0.5 s after its time
// only earns nothing.
TEST(LargeRequest, UploadThatItsServerDoesNotReadIsAnsweredWithinTheClientTimeout) {
  const FullListener hanging;
  hanging.set_receive_buffer(16 * 1024);
  NodeConfig config = config_with_server(hanging.address());
  config.classes = class_json("close", "unsafe", "", "0.5", "0.8");
  const NodeProcess node(config.text());
  Connection client = Connection::to(node.port());
  client.write(RequestBuilder{.body = large_body(4 * kMebibyte)}.text());
  const auto last_byte_at = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(client.read_message()), 503) << "no server has all of it";
  EXPECT_LT(std::chrono::steady_clock::now() - last_byte_at, 800ms + 500ms);
}

// The socket to a server that reads slowly is not writable for longer at a time than a server may read
// nothing.
TEST(LargeRequest, UploadThatItsServerReadsSlowlyIsWrittenCompletely) {
  constexpr std::size_t kBodyBytes = 8 * kMebibyte;
  Listener slow([](Connection& connection) {
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t received = 0; received < kBodyBytes;) {
      const std::size_t size = connection.read_some().size();
      if (size == 0) return;
      received += size;
      if (std::chrono::steady_clock::now() - start < 6s) std::this_thread::sleep_for(160ms);
    }
    connection.write(http_response(200, "ok"));
  });
  NodeConfig config = config_with_server(slow.address());
  config.admin = "127.0.0.1:0";
  config.classes = class_json("close", "unsafe", "", "15.0", "15.0");
  const NodeProcess node(config.text());
  Connection client = Connection::to(node.port());
  client.write(RequestBuilder{.body = large_body(kBodyBytes)}.text());
  EXPECT_EQ(status_of(client.read_message()), 200) << node.log();
  EXPECT_TRUE(node.eventually_reports(R"("backend_calls":1,)"));
}

TEST(LargeRequest, ClientDisconnectMidwayClosesTheServerConnection) {
  BodyServer server;
  const auto node = node_in_front_of(server.listener());
  Connection client = Connection::to(node->port());
  client.write(RequestBuilder{.body = large_body(8 * kMebibyte)}.text().substr(0, 3 * kMebibyte));
  ASSERT_TRUE(eventually([&] { return server.listener().open_connections() == 1; }));
  client.close();
  EXPECT_TRUE(eventually([&] { return server.listener().open_connections() == 0; }));
  EXPECT_TRUE(server.bodies().empty());
}

TEST(LargeRequest, BufferedBodyIsRetried) {
  std::atomic<int> calls = 0;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    return ++calls == 1 ? connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"))
                        : connection.write(http_response(200, "ok"));
  });
  const std::string body = large_body(300000);
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {.body = body})), 200);
  ASSERT_EQ(deployment.server.requests().size(), 2U);
  EXPECT_EQ(body_of(deployment.server.requests()[0]), body);
  EXPECT_EQ(body_of(deployment.server.requests()[1]), body);
}

// Many large bodies at once with little memory: bodies that do not fit are streamed, and all requests are
// served.
TEST(LargeRequest, ManyWithLittleMemoryAreAllServed) {
  BodyServer server;
  NodeConfig config = config_with_server(server.listener().address());
  config.memory_mb = 32;
  const NodeProcess node(config.text());
  const std::string body = large_body(4 * kMebibyte);
  std::vector<std::thread> clients;
  clients.reserve(8);
  std::atomic<int> served = 0;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      Connection client = Connection::to(node.port());
      client.write(RequestBuilder{.id = "m" + std::to_string(i), .body = body}.text());
      served += status_of(client.read_message()) == 200;
    });
  }
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(served, 8);
  for (const std::string& received : server.bodies()) EXPECT_TRUE(received == body);
}

// The bodies of all connections together must not exceed the memory limit.
TEST(MemoryLimit, BodiesBeyondTheLimitAreRejectedWithRetryAfter) {
  OneServerDeployment deployment(always_reply(200, "ok"),
                                 {.memory_mb = 8});  // 2.7 MB of it are for messages: 40 bodies
  constexpr int kClients = 80;
  {
    std::vector<Connection> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(deployment.client());
      clients.back().write("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 65000\r\n\r\n" +
                           std::string(60000, 'x'));
    }
    int rejected = 0;
    int timed_out = 0;
    for (Connection& client : clients) {
      const std::string response = client.read_message();
      if (!response.empty() && status_of(response) == 503 && !field_of(response, "Retry-After").empty())
        ++rejected;
      if (!response.empty() && status_of(response) == 408) ++timed_out;
    }
    EXPECT_GE(rejected, kClients / 4);
    EXPECT_GT(timed_out, 0) << "bodies that fit into the memory were read";
  }
  Connection after = deployment.client();
  EXPECT_EQ(status_of(exchange(after, {.body = std::string(60000, 'x')})), 200)
      << "the memory has been released";
}

}  // namespace
}  // namespace nettleyoke::node
