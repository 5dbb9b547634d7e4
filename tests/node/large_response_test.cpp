/// @file
/// Responses that are too large to buffer, and servers and clients that are slow with them.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>

#include "large_body.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

RequestBuilder request_with_connection_close(const std::string& id) {
  return {.request_class = "look", .id = id, .method = "GET", .body = "", .fields = "Connection: close\r\n"};
}

TEST(LargeResponse, FirstBytesArriveBeforeTheLastAreSent) {
  const std::string body = large_body(3 * kMebibyte);
  Gate gate;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                     body.substr(0, 1000));
    return gate.wait() && connection.write(body.substr(1000));
  });
  Connection client = deployment.client();
  client.write(request_with_connection_close("r").text());
  std::string response;
  ASSERT_TRUE(client.receive_more()) << "the first bytes must arrive while the server holds back the rest";
  gate.open();
  response = client.read_to_end();
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(body_of(response), body);
}

TEST(LargeResponse, BodyArrivesUnchangedInEveryFraming) {
  const std::string body = large_body(kMebibyte + 7);
  std::mutex mutex;
  std::string next_fields_and_body;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    const std::lock_guard lock(mutex);
    return connection.write("HTTP/1.1 200 OK\r\n" + next_fields_and_body) &&
           next_fields_and_body.find("Connection: close") == std::string::npos;
  });
  int count = 0;
  for (const std::string& fields_and_body :
       {"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 70000) + "\r\n",
        "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 999, ";note=\"x\"") + "X-Trailer: t\r\n\r\n",
        "Connection: close\r\n\r\n" + body,
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}) {
    {
      const std::lock_guard lock(mutex);
      next_fields_and_body = fields_and_body;
    }
    Connection client = deployment.client();
    client.write(request_with_connection_close("r" + std::to_string(++count)).text());
    const std::string response = client.read_to_end();
    EXPECT_EQ(status_of(response), 200);
    EXPECT_EQ(field_of(response, "Transfer-Encoding") == "chunked" ? dechunked(body_of(response))
                                                                   : body_of(response),
              body)
        << count;
  }
  EXPECT_EQ(deployment.server.requests().size(), 4U) << "each request must be sent once";
}

TEST(LargeResponse, ConnectionToTheServerIsReusedAfterwards) {
  const std::string body = large_body(2 * kMebibyte);
  OneServerDeployment deployment(always_reply(200, body));
  Connection client = deployment.client();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(body_of(exchange(client, {.id = "r" + std::to_string(i)})), body);
  }
  EXPECT_EQ(deployment.server.listener().accepted(), 1);
}

// The node must neither retry nor end the response in a way that makes it look complete.
TEST(LargeResponse, TruncatedResponseIsNotCompleteAndNotRetried) {
  std::mutex mutex;
  std::string next_framing;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    const std::lock_guard lock(mutex);
    connection.write("HTTP/1.1 200 OK\r\n" + next_framing + large_body(200000));
    return false;
  });
  int count = 0;
  for (const std::string framing :
       {"Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n", "\r\n"}) {
    {
      const std::lock_guard lock(mutex);
      next_framing = framing;
    }
    Connection client = deployment.client();
    client.write(request_with_connection_close("r" + std::to_string(++count)).text());
    const std::string response = client.read_to_end();
    EXPECT_EQ(status_of(response), 200);
    if (field_of(response, "Transfer-Encoding") == "chunked") {
      EXPECT_EQ(dechunked(body_of(response)), std::nullopt) << framing;
    } else {
      EXPECT_LT(body_of(response).size(), std::stoul(field_of(response, "Content-Length"))) << framing;
    }
  }
  EXPECT_EQ(deployment.server.requests().size(), 3U);
}

// The timeout for small responses must not apply here: the response has no Content-Length and takes longer
// than that timeout, but makes progress.
TEST(LargeResponse, ResponseWithoutALengthThatMakesProgressIsNotTimedOut) {
  const std::string body = large_body(120000);
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    connection.write(kChunkedResponseHead + http_chunk(body.substr(0, 40000)));
    std::this_thread::sleep_for(600ms);
    connection.write(http_chunk(body.substr(40000)) + "0\r\n\r\n");
    return true;
  });
  Connection client = deployment.client();
  client.write(request_with_connection_close("r").text());
  EXPECT_EQ(dechunked(body_of(client.read_to_end())), body);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
}

// The node must not buffer what the client does not read. The socket buffers on the way hold only some
// megabytes.
TEST(LargeResponse, ClientThatDoesNotReadThrottlesTheServer) {
  std::atomic<std::size_t> written = 0;
  const std::string block = large_body(kMebibyte);
  constexpr std::size_t kBlocks = 60;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    if (!connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBlocks * kMebibyte) +
                          "\r\n\r\n"))
      return false;
    for (std::size_t i = 0; i < kBlocks; ++i) {
      if (!connection.write(block)) return false;
      written += block.size();
    }
    return true;
  });
  Connection client = deployment.client();
  client.write(request_with_connection_close("r").text());
  ASSERT_TRUE(client.receive_more());
  std::this_thread::sleep_for(1s);
  EXPECT_LT(written, 40 * kMebibyte);
  client.close();
  EXPECT_TRUE(eventually([&] { return deployment.server.listener().open_connections() == 0; }))
      << "the node must close its connection to the server too";
}

}  // namespace
}  // namespace nettleyoke::node
