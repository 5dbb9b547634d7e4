/// @file
/// Clients that take a large response slowly, but steadily: it is not cut off. Clients that take nothing are
/// disconnected.
#include <gtest/gtest.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <deque>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

#include "large_body.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

using Milliseconds = std::chrono::milliseconds;

// The rate at which the pages let a client take a body, in bytes per second.
constexpr double kSlowestRate = 64e3;

enum class Framing { kLength, kChunked, kClose };

FakeServer::Reply reply_with(Framing framing, const std::string& body) {
  return [framing, body](Connection& connection, const std::string&) {
    switch (framing) {
      case Framing::kLength:
        return connection.write(http_response(200, body));
      case Framing::kChunked:
        return connection.write(kChunkedResponseHead + chunked(body, 50000) + "\r\n");
      case Framing::kClose:
        connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
        return false;
    }
    return false;
  };
}

// A client that takes a response at a given rate.
class SlowClient {
 public:
  /// @param receive_buffer of its socket, in bytes; 0: as the system sets it
  explicit SlowClient(int port, int receive_buffer = 0) : connection_(connect(port, receive_buffer)) {}

  Connection& connection() { return connection_; }
  const std::string& received() const { return received_; }

  /// Takes this many bytes as fast as they come.
  void take_at_once(std::size_t bytes) { receive_until(received_.size() + bytes); }
  /// Takes bytes at a rate in bytes per second.
  void take_slowly(double rate, Milliseconds duration, Milliseconds pause) {
    const auto start = std::chrono::steady_clock::now();
    const std::size_t before = received_.size();
    while (!has_ended_ && std::chrono::steady_clock::now() - start < duration) {
      std::this_thread::sleep_for(pause);
      receive_until(before + static_cast<std::size_t>(seconds_since(start) * rate));
    }
  }
  /// Takes all until the connection ends.
  void take_rest() { receive_until(std::string::npos); }
  /// Whether the connection ended with a reset rather than in order.
  bool was_reset() const { return was_reset_; }

 private:
  static Connection connect(int port, int receive_buffer) {
    FileDescriptor socket = new_tcp_socket();
    if (receive_buffer > 0) {
      ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const timeval wait_limit{std::chrono::seconds(kWaitLimit).count(), 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &wait_limit, sizeof wait_limit);
    EXPECT_TRUE(connect_to_loopback(socket, port));
    return Connection(std::move(socket));
  }

  void receive_until(std::size_t size) {
    std::array<char, 65536> piece{};
    while (!has_ended_ && received_.size() < size) {
      const ssize_t count =
          ::recv(connection_.fd(), piece.data(), std::min(piece.size(), size - received_.size()), 0);
      has_ended_ = count <= 0;
      was_reset_ = count < 0 && errno == ECONNRESET;
      if (count > 0) received_.append(piece.data(), static_cast<std::size_t>(count));
    }
  }

  Connection connection_;
  std::string received_;
  bool has_ended_ = false;
  bool was_reset_ = false;
};

// How a client takes a response.
struct Reading {
  const char* name;
  Framing framing;
  const char* request_class;
  std::size_t body_bytes;
  int receive_buffer = 0;
  std::size_t bytes_at_once = 0;
  Milliseconds pause = 100ms;
  Milliseconds duration = 8s;  // then the rest is taken as fast as it comes
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Reading& reading, std::ostream* out) { *out << reading.name; }

class SlowlyTakenResponse : public testing::TestWithParam<Reading> {};

// A system whose receive buffer is full does not report each byte that its program takes: with the large
// buffers some seconds pass between two reports.
INSTANTIATE_TEST_SUITE_P(
    By, SlowlyTakenResponse,
    testing::Values(Reading{"ClientAtTheSlowestRate", Framing::kLength, "look", 16 * kMebibyte},
                    Reading{"ClientAtTheSlowestRateChunked", Framing::kChunked, "mark", 16 * kMebibyte},
                    Reading{"ClientAtTheSlowestRateUntilClose", Framing::kClose, "close", 16 * kMebibyte},
                    Reading{"ClientWithASmallBuffer", Framing::kChunked, "look", 8 * kMebibyte, 4096},
                    Reading{"ClientWithALargeBuffer", Framing::kLength, "close", 24 * kMebibyte, 4000000, 0,
                            100ms, 28s},
                    Reading{"ClientThatWasFastBefore", Framing::kLength, "look", 32 * kMebibyte, 0,
                            4 * kMebibyte, 100ms, 14s},
                    Reading{"ClientWithPauses", Framing::kClose, "mark", 12 * kMebibyte, 0, 0, 2s, 10s}),
    [](const auto& info) { return info.param.name; });

// Prevents this failure: a response was cut off 5 s after a part of it could not be written at once, although
// its client took it all the time (lost).
TEST_P(SlowlyTakenResponse, IsNotCutOff) {
  const Reading& reading = GetParam();
  const std::string body = large_body(reading.body_bytes);
  OneServerDeployment deployment(reply_with(reading.framing, body));
  SlowClient client(deployment.program->port(), reading.receive_buffer);
  client.connection().write(last_request_of_class(reading.request_class).text());
  client.take_at_once(reading.bytes_at_once);
  client.take_slowly(kSlowestRate, reading.duration, reading.pause);
  EXPECT_LT(client.received().size(), body.size()) << "the slow part must not be over";
  client.take_rest();
  EXPECT_EQ(status_of(client.received()), 200) << deployment.program->log();
  EXPECT_TRUE(decoded_body(client.received()) == body)
      << client.received().size() << " bytes; " << deployment.program->log();
}

// A client that sends more while it still takes a response that the node has written.
struct EarlySender {
  const char* name;
  bool keeps_connection;
  Milliseconds sends_after;
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const EarlySender& sender, std::ostream* out) { *out << sender.name; }

class WrittenResponse : public testing::TestWithParam<EarlySender> {};

INSTANTIATE_TEST_SUITE_P(To, WrittenResponse,
                         testing::Values(EarlySender{"AClientThatKeepsTheConnection", true, 12s},
                                         EarlySender{"AClientThatEndsTheConnection", false, 2s}),
                         [](const auto& info) { return info.param.name; });

// Prevents this failure: the node closed the connection while its system still held megabytes of the
// response, and the next bytes of the client reset it.
TEST_P(WrittenResponse, IsNotLostWhenItsClientSendsMoreBeforeItHasTakenAll) {
  const EarlySender& sender = GetParam();
  const std::string body = large_body(3 * kMebibyte);
  OneServerDeployment deployment(reply_with(Framing::kLength, body));
  SlowClient client(deployment.program->port());
  RequestBuilder request = get_request("r1");
  if (!sender.keeps_connection) request.fields = "Connection: close\r\n";
  client.connection().write(request.text());
  client.take_slowly(kSlowestRate, sender.sends_after, 100ms);
  RequestBuilder next_request = last_request_of_class("look");
  next_request.id = "r2";
  client.connection().write(next_request.text());
  client.take_rest();
  const std::string& received = client.received();
  EXPECT_TRUE(body_of(received).starts_with(body)) << received.size() << " bytes";
  const std::string next = body_of(received).substr(std::min(body.size(), body_of(received).size()));
  EXPECT_EQ(status_of(next), sender.keeps_connection ? 200 : 0);
}

// Prevents this failure: connections that were kept because their clients still took the last response used
// up the limit, and new clients were rejected.
TEST(ClientsThatTakeTheirLastResponseSlowly, AreEvictedForNewClients) {
  NodeConfig config;
  config.sockets = 64;  // 20 of them for clients
  OneServerDeployment deployment(reply_with(Framing::kLength, large_body(300 * kKibibyte)), config);
  std::deque<SlowClient> clients;
  for (int i = 0; i < 40; ++i) {
    SlowClient& client = clients.emplace_back(deployment.program->port(), 4096);
    RequestBuilder request = last_request_of_class("look");
    request.id = "r" + std::to_string(i);
    client.connection().write(request.text());
    client.take_at_once(1000);
    ASSERT_EQ(status_of(client.received()), 200) << i;
    std::this_thread::sleep_for(100ms);
  }
}

class StoppedClient : public testing::TestWithParam<std::pair<Framing, const char*>> {};

INSTANTIATE_TEST_SUITE_P(Of, StoppedClient,
                         testing::Values(std::pair{Framing::kLength, "HTTP/1.1"},
                                         std::pair{Framing::kChunked, "HTTP/1.1"},
                                         std::pair{Framing::kClose, "HTTP/1.0"}),
                         [](const auto& info) { return "Framing" + std::to_string(info.index); });

// A client that takes nothing may not hold its server for long, and must not take what it has for the whole.
TEST_P(StoppedClient, IsDisconnectedAndCanTellThatTheResponseIsIncomplete) {
  const auto& [framing, version] = GetParam();
  const std::string body = large_body(16 * kMebibyte);
  OneServerDeployment deployment(reply_with(framing, body));
  SlowClient client(deployment.program->port());
  std::string text = last_request_of_class("look").text();
  text.replace(text.find("HTTP/1.1"), 8, version);
  client.connection().write(text);
  client.take_at_once(100);
  const auto stopped_at = std::chrono::steady_clock::now();
  ASSERT_TRUE(eventually([&] { return deployment.server.listener().open_connections() == 0; }));
  EXPECT_GT(seconds_since(stopped_at), 4) << "a short stop must not end the response";
  client.take_rest();
  EXPECT_LT(client.received().size(), body.size());
  EXPECT_TRUE(client.was_reset());
}

}  // namespace
}  // namespace nettleyoke::node
