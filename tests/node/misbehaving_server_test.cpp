/// @file
/// Servers whose responses violate the protocol, and a server that replaces another at the same address.
#include <gtest/gtest.h>

#include <vector>

#include "harness/full_listener.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(MisbehavingServer, InvalidBodyLengthFailsTheAttempt) {
  std::mutex mutex;
  std::string next_fields_and_body;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    const std::lock_guard lock(mutex);
    return connection.write("HTTP/1.1 200 OK\r\n" + next_fields_and_body);
  });
  int count = 0;
  for (const std::string fields_and_body :
       {"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: -2\r\n\r\nab",
        "Content-Length: two\r\n\r\nab",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "Content-Length: 3000000000\r\n\r\nab"}) {
    {
      const std::lock_guard lock(mutex);
      next_fields_and_body = fields_and_body;
    }
    Connection client = deployment.client();
    const int status = status_of(exchange(client, {.id = "l" + std::to_string(++count)}));
    EXPECT_TRUE(status == 502 || status == 503) << fields_and_body << status;
  }
}

// The node must limit the size of a chunk header instead of reading for as long as the server sends one.
TEST(MisbehavingServer, EndlessChunkHeaderFailsTheAttempt) {
  OneServerDeployment deployment([](Connection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;");
    while (connection.write(std::string(64 * kKibibyte, 'x'))) {
    }
    return false;
  });
  const auto start = std::chrono::steady_clock::now();
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {})), 502);
  EXPECT_LT(seconds_since(start), 10) << "the attempt must fail before the client timeout of 15 s";
}

// A server that sends a response twice leaves the duplicate unread in the freed connection. The node must not
// assign that connection to a waiting attempt, which would take the duplicate for its own response. The
// response has 512 bytes, so that one read of the node takes in exactly the first copy.
TEST(MisbehavingServer, DuplicateResponseIsNotUsedForTheNextAttempt) {
  FullListener server;
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(server.address(), discovery.address());
  config.bounds = bounds_with_slow_connects();
  NodeProcess program(config.text());
  Connection one = Connection::to(program.port());
  Connection two = Connection::to(program.port());
  one.write(RequestBuilder{.id = "one"}.text());
  Connection first(server.accept());
  ASSERT_EQ(read_request_id(first), "one");
  server.fill_queue();
  two.write(RequestBuilder{.id = "two"}.text());
  ASSERT_TRUE(server.eventually_has_pending_connects(1));
  std::string response = http_response(200, "one", "X-Fill: \r\n");
  response.insert(response.find("\r\n\r\n"), std::string(512 - response.size(), 'x'));
  first.write(response + response);
  EXPECT_EQ(body_of(one.read_message()), "one");
  Connection second(server.accept());
  EXPECT_EQ(read_request_id(second), "two");
  second.write(http_response(200, "two"));
  EXPECT_EQ(body_of(two.read_message()), "two");
}

TEST(MisbehavingServer, UnsolicitedResponseDoesNotStopTheNode) {
  std::atomic<int> requests = 0;
  Listener server([&](Connection& connection) {
    connection.write(http_response(200, "unasked"));
    if (!connection.read_message().empty()) ++requests;
  });
  FakeDiscovery discovery;
  NodeProcess program(config_with_server(server.address(), discovery.address()).text());
  for (int i = 0; i < 5; ++i) {
    Connection client = Connection::to(program.port());
    client.write(RequestBuilder{.id = "u" + std::to_string(i)}.text());
    // The unsolicited response may arrive just after the request; then it looks like the response to it.
    const std::string response = client.read_message();
    EXPECT_FALSE(response.empty());
  }
  EXPECT_TRUE(program.is_running());
}

// A connect to a server that has been removed must not deliver the waiting request to the server that now has
// the same address.
TEST(ServerReplacement, NewServerAtTheAddressOfARemovedOneGetsTheRequestOnce) {
  FullListener server;
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(server.address(), discovery.address());
  config.bounds = bounds_with_slow_connects();
  NodeProcess program(config.text());
  server.fill_queue();
  Connection client = Connection::to(program.port());
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(server.eventually_has_pending_connects(1));
  discovery.send_list(endpoint_list(
      8, false, endpoint("s0", server.address(), "removed") + "," + endpoint("s1", server.address())));
  // The waiting attempt ends as not sent; the request goes to the new server over a connection of its own.
  ASSERT_TRUE(server.eventually_has_pending_connects(2));
  std::vector<Connection> connections;
  connections.reserve(2);
  for (int i = 0; i < 2; ++i) connections.emplace_back(server.accept());
  int requests = 0;
  for (Connection& connection : connections) {
    if (connection.read_message().empty()) continue;  // closed unused
    ++requests;
    connection.write(http_response(200, "new"));
  }
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(body_of(client.read_message()), "new");
}

}  // namespace
}  // namespace nettleyoke::node
