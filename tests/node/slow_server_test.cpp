/// @file
/// Servers that respond or read slowly, but soundly: a response that has begun is not cut off, and the final
/// answer of a request whose server reads slowly comes in the time of the request.
#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <thread>
#include <tuple>

#include "large_body.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

using Milliseconds = std::chrono::milliseconds;

// The pages count an answer as lost that comes later than this after its time.
constexpr Milliseconds kAnswerSlack{500};

enum class Framing { kChunked, kClose, kLength };

std::string name_of(Framing framing) {
  if (framing == Framing::kLength) return "Length";
  return framing == Framing::kChunked ? "Chunked" : "Close";
}

std::string response_head(Framing framing, std::size_t length) {
  switch (framing) {
    case Framing::kChunked:
      return kChunkedResponseHead;
    case Framing::kClose:
      return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    case Framing::kLength:
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  return {};
}

// How a server writes a response.
struct Pace {
  const char* name;
  std::size_t body_bytes;
  Milliseconds pause_after_head;
  std::size_t piece_bytes;
  Milliseconds pause_after_piece;
  const char* timeout_ms;  // of the client
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Pace& pace, std::ostream* out) { *out << pace.name; }

FakeServer::Reply reply_slowly(Framing framing, const Pace& pace) {
  return [framing, pace](Connection& connection, const std::string&) {
    const std::string body = large_body(pace.body_bytes);
    if (!connection.write(response_head(framing, body.size()))) return false;
    std::this_thread::sleep_for(pace.pause_after_head);
    for (std::size_t at = 0; at < body.size(); at += pace.piece_bytes) {
      const std::string piece = body.substr(at, pace.piece_bytes);
      if (!connection.write(framing == Framing::kChunked ? http_chunk(piece) : piece)) return false;
      std::this_thread::sleep_for(pace.pause_after_piece);
    }
    if (framing == Framing::kChunked) connection.write("0\r\n\r\n");
    return framing != Framing::kClose;
  };
}

class SlowResponse : public testing::TestWithParam<std::tuple<Pace, Framing, const char*>> {};

INSTANTIATE_TEST_SUITE_P(
    Paces, SlowResponse,
    testing::Combine(testing::Values(Pace{"LateBody", 150000, 900ms, 30000, 100ms, "2500"},
                                     Pace{"SlowBody", 100000, 0ms, 1600, 40ms, "1500"},
                                     Pace{"BodyAfterTheTimeout", 150000, 900ms, 16000, 50ms, "700"},
                                     Pace{"LargeLongAfterItsTime", 90000, 0ms, 1600, 40ms, "700"},
                                     Pace{"PausesLongAfterItsTime", 90000, 0ms, 12000, 300ms, "700"}),
                     testing::Values(Framing::kChunked, Framing::kClose, Framing::kLength),
                     testing::Values("close", "mark", "look")),
    [](const auto& info) {
      return std::get<0>(info.param).name + name_of(std::get<1>(info.param)) + "_" + std::get<2>(info.param);
    });

// Prevents this failure: a response over 64 KiB that its server still wrote was cut off after 0.25 s (lost).
TEST_P(SlowResponse, OverTheBufferedSizeIsNotCutOff) {
  const auto& [pace, framing, request_class] = GetParam();
  FakeServer first(reply_slowly(framing, pace));
  FakeServer second(reply_slowly(framing, pace));
  Deployment deployment({&first, &second});
  Connection client = deployment.client();
  client.write(last_request_of_class(request_class, pace.timeout_ms).text());
  const auto sent_at = std::chrono::steady_clock::now();
  ASSERT_TRUE(client.receive_more());
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, Milliseconds(std::stoi(pace.timeout_ms)));
  const std::string response = client.read_to_end();
  EXPECT_EQ(status_of(response), 200) << deployment.program->log();
  EXPECT_TRUE(decoded_body(response) == large_body(pace.body_bytes)) << deployment.program->log();
}

// The same failure with a response that is not large: no retry is allowed, so that waiting loses nothing.
TEST(SlowSmallResponse, OfANonIdempotentRequestIsServedWithinTheClientTimeout) {
  for (const Framing framing : {Framing::kChunked, Framing::kClose, Framing::kLength}) {
    OneServerDeployment deployment(reply_slowly(framing, Pace{"", 40000, 100ms, 4000, 80ms, ""}));
    Connection client = deployment.client();
    client.write(last_request_of_class("close", "3000").text());
    const std::string response = client.read_to_end();
    EXPECT_EQ(status_of(response), 200) << deployment.program->log();
    EXPECT_TRUE(decoded_body(response) == large_body(40000));
  }
}

// Prevents this failure: a response that stops is passed on without an end, and its client has no final
// answer half a second after its time (lost).
TEST(StoppedResponse, EndsInTheTimeOfTheRequest) {
  int count = 0;
  for (const Framing framing : {Framing::kChunked, Framing::kClose}) {
    for (const std::size_t body_bytes : {std::size_t{0}, std::size_t{5}, std::size_t{30000}}) {
      OneServerDeployment deployment([=](Connection& connection, const std::string&) {
        const std::string body = large_body(body_bytes);
        connection.write(response_head(framing, 0) +
                         (framing == Framing::kChunked && !body.empty() ? http_chunk(body) : body));
        while (connection.receive_more()) {  // until the node closes the connection
        }
        return false;
      });
      Connection client = deployment.client();
      RequestBuilder request = last_request_of_class("close", "700");
      request.id = "s" + std::to_string(++count);
      client.write(request.text());
      const auto sent_at = std::chrono::steady_clock::now();
      const std::string response = client.read_to_end();
      EXPECT_LT(std::chrono::steady_clock::now() - sent_at, 700ms + kAnswerSlack)
          << deployment.program->log();
      if (status_of(response) != 502) {
        EXPECT_EQ(field_of(response, "Transfer-Encoding"), "chunked") << response.substr(0, 200);
        EXPECT_EQ(dechunked(body_of(response)), std::nullopt) << "it must not look complete";
      }
    }
  }
}

// A response of which most comes at once, and then a few bytes now and then without an end.
struct Trickle {
  const char* name;
  std::size_t bytes_at_once;
  Milliseconds pause_after_head;
  std::size_t piece_bytes;
  Milliseconds pause_after_piece;
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Trickle& trickle, std::ostream* out) { *out << trickle.name; }

FakeServer::Reply reply_without_end(Framing framing, const Trickle& trickle) {
  return [framing, trickle](Connection& connection, const std::string&) {
    const auto write = [&, framing](const std::string& bytes) {
      return connection.write(framing == Framing::kChunked ? http_chunk(bytes) : bytes);
    };
    // With a length the body stays below the size that is streamed.
    connection.write(response_head(framing, 60000));
    std::this_thread::sleep_for(trickle.pause_after_head);
    bool is_open = write(large_body(trickle.bytes_at_once));
    while (is_open) {
      std::this_thread::sleep_for(trickle.pause_after_piece);
      is_open = write(std::string(trickle.piece_bytes, '.'));
    }
    return false;
  };
}

class EndlessSmallResponse : public testing::TestWithParam<std::tuple<Trickle, Framing, const char*>> {};

INSTANTIATE_TEST_SUITE_P(
    Trickles, EndlessSmallResponse,
    testing::Combine(testing::Values(Trickle{"BytesAfterMuch", 20000, 0ms, 1, 100ms},
                                     Trickle{"BytesAfterNearlyAll", 50000, 100ms, 1, 20ms},
                                     Trickle{"PiecesOften", 20000, 0ms, 40, 10ms},
                                     Trickle{"PiecesSeldom", 12000, 50ms, 500, 300ms},
                                     Trickle{"BytesAfterALateBody", 1, 900ms, 1, 100ms}),
                     testing::Values(Framing::kChunked, Framing::kClose, Framing::kLength),
                     testing::Values("close", "mark", "look")),
    [](const auto& info) {
      return std::get<0>(info.param).name + name_of(std::get<1>(info.param)) + "_" + std::get<2>(info.param);
    });

// Prevents this failure: while a small response got a byte now and then, its request stayed without a final
// answer for as long as the server went on (lost).
TEST_P(EndlessSmallResponse, EndsInTheTimeOfTheRequest) {
  const auto& [trickle, framing, request_class] = GetParam();
  FakeServer first(reply_without_end(framing, trickle));
  FakeServer second(reply_without_end(framing, trickle));
  Deployment deployment({&first, &second});
  Connection client = deployment.client();
  client.write(last_request_of_class(request_class, "800").text());
  const auto sent_at = std::chrono::steady_clock::now();
  const auto limit = 800ms + kAnswerSlack;
  std::string response;
  for (std::string piece; std::chrono::steady_clock::now() - sent_at < limit; response += piece) {
    piece = client.read_some();
    if (piece.empty()) break;
  }
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, limit) << deployment.program->log();
  // A request that may run again may also be rejected.
  const int status = status_of(response);
  if (status == 502 || (status == 503 && std::string(request_class) == "look")) return;
  EXPECT_EQ(status, 200);
  EXPECT_EQ(field_of(response, "Transfer-Encoding"), "chunked") << response.substr(0, 200);
  EXPECT_EQ(dechunked(body_of(response)), std::nullopt) << "it must not look complete";
}

// The outcome of an error is known from its head.
TEST(SlowErrorResponse, IsNotWaitedFor) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 500 Error\r\nContent-Length: 50\r\n\r\nhalf");
    while (connection.receive_more()) {  // until the node closes the connection
    }
    return false;
  });
  const auto sent_at = std::chrono::steady_clock::now();
  EXPECT_EQ(deployment.status_for({.timeout_ms = "5000"}), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, 2s);
}

// A server that reads a request at a constant rate and never responds. Its socket holds little, so that the
// bytes that it has not read stay on the node's side.
class SlowReader {
 public:
  explicit SlowReader(std::size_t bytes_per_second)
      : listener_([=](Connection& connection) {
          const int receive_buffer = 16 * 1024;
          ::setsockopt(connection.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
          for (std::string piece = connection.read_some(); !piece.empty(); piece = connection.read_some()) {
            std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(piece.size()) /
                                                                      static_cast<double>(bytes_per_second)));
          }
        }) {}
  std::string address() const { return listener_.address(); }

 private:
  Listener listener_;
};

// An upload, and how its client sends it.
struct Upload {
  const char* name;
  std::size_t body_bytes;
  std::size_t server_bytes_per_second;
  Milliseconds pause_after_piece;  // of the client, after each 16 KiB
  const char* timeout_ms;
  int memory_mb = 192;
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Upload& upload, std::ostream* out) { *out << upload.name; }

class SlowlyReadUpload : public testing::TestWithParam<std::tuple<Upload, Framing, const char*>> {};

INSTANTIATE_TEST_SUITE_P(
    Uploads, SlowlyReadUpload,
    testing::Combine(testing::Values(Upload{"OneMegabyteAtOnce", 990000, 77000, 0ms, "750"},
                                     Upload{"ThreeMegabytesAtOnce", 3 * kMebibyte, 400000, 0ms, "900"},
                                     Upload{"TwelveMegabytesAtOnce", 12 * kMebibyte, 2000000, 0ms, "600"},
                                     Upload{"TwoMegabytesSentSlowly", 2 * kMebibyte, 110000, 10ms, "600"},
                                     Upload{"BeyondTheMemory", 9 * kMebibyte, 300000, 0ms, "800", 16}),
                     testing::Values(Framing::kLength, Framing::kChunked), testing::Values("close", "mark")),
    [](const auto& info) {
      return std::get<0>(info.param).name + name_of(std::get<1>(info.param)) + "_" + std::get<2>(info.param);
    });

// Prevents this failure: while a server read a large request slowly, the node did not see the client's last
// byte, and the final answer came seconds after its time (lost).
TEST_P(SlowlyReadUpload, IsAnsweredInTheTimeOfTheRequest) {
  const auto& [upload, framing, request_class] = GetParam();
  SlowReader server(upload.server_bytes_per_second);
  NodeConfig config = config_with_server(server.address());
  config.memory_mb = upload.memory_mb;
  const NodeProcess node(config.text());
  Connection client = Connection::to(node.port());
  RequestBuilder request = last_request_of_class(request_class, upload.timeout_ms);
  const std::string body = large_body(upload.body_bytes);
  std::string text;
  if (framing == Framing::kChunked) {
    request.body = "";
    request.fields += "Transfer-Encoding: chunked\r\n";
    text = request.text() + chunked(body, 50000) + "\r\n";
  } else {
    request.body = body;
    text = request.text();
  }
  constexpr std::size_t kPieceBytes = 16 * kKibibyte;
  for (std::size_t at = 0; at < text.size() && client.write(text.substr(at, kPieceBytes));
       at += kPieceBytes) {
    std::this_thread::sleep_for(upload.pause_after_piece);
  }
  const auto last_byte_at = std::chrono::steady_clock::now();
  const int status = status_of(client.read_message());
  EXPECT_TRUE(status == 502 || status == 503) << status;
  EXPECT_LT(std::chrono::steady_clock::now() - last_byte_at,
            Milliseconds(std::stoi(upload.timeout_ms)) + kAnswerSlack)
      << node.log();
}

}  // namespace
}  // namespace nettleyoke::node
