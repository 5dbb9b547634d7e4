/// @file
/// What is still owed at the instant at which something ends: docs/lifecycle-races.md has the list. Each race
/// is forced by the order of the peers' own acts. Where two of them have to reach the node in one turn of its
/// event loop it is suspended meanwhile: it then finds both, in the order in which they were done.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "harness/held_server_deployment.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// What a disconnected client has sent, by FIN or by RST, is not forwarded and not retried.
class ClientDisconnect : public testing::TestWithParam<bool> {
 protected:
  static void disconnect(Connection& client) { GetParam() ? client.reset() : client.close(); }
  // The next request that the server gets is one whose client is connected.
  static void expect_next_request(HeldServerDeployment& node, Connection& server) {
    Connection connected = node.client();
    connected.write(get_request("connected").text());
    EXPECT_EQ(read_request_id(server), "connected");
    server.write(http_response(200, "ok"));
    EXPECT_EQ(body_of(connected.read_message()), "ok");
    EXPECT_TRUE(node.eventually_has_nothing_in_flight());
  }
};

INSTANTIATE_TEST_SUITE_P(By, ClientDisconnect, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Reset" : "Fin"); });

TEST_P(ClientDisconnect, WhileAConnectIsPendingDropsTheRequest) {
  HeldServerDeployment node;
  node.server.fill_queue();
  Connection client = node.client();
  client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(node.server.eventually_has_pending_connects(1));
  disconnect(client);
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  Connection server(node.server.accept());
  expect_next_request(node, server);
}

// The attempt has to end in the turn of the event loop in which that is asked for: a connection that comes up
// a turn later would carry it.
TEST_P(ClientDisconnect, JustBeforeAConnectCompletesDropsTheRequest) {
  HeldServerDeployment node(true);
  node.server.fill_queue();
  Connection client = node.client();
  client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(node.server.eventually_has_pending_connects(1));
  node.program->suspend();
  disconnect(client);
  Connection server(node.server.accept());
  node.program->resume();
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  expect_next_request(node, server);
}

TEST_P(ClientDisconnect, DuringQuarantineOfTheConnectionDropsTheRequest) {
  HeldServerDeployment node;
  Connection first = node.client();
  Connection client = node.client();
  first.write(get_request("first").text());
  Connection server(node.server.accept());
  ASSERT_EQ(read_request_id(server), "first");
  node.program->suspend();
  server.write(http_response(200, "ok"));
  client.write(RequestBuilder{.id = "gone"}.text());
  disconnect(client);
  node.program->resume();
  EXPECT_EQ(body_of(first.read_message()), "ok");
  EXPECT_TRUE(GetParam() || node.logged_disconnect_of("gone"))
      << "a reset may come before the request is read";
  expect_next_request(node, server);
}

TEST_P(ClientDisconnect, JustBeforeARetryPreventsIt) {
  HeldServerDeployment node;
  Connection client = node.client();
  client.write(get_request("gone").text());
  Connection server(node.server.accept());
  ASSERT_EQ(read_request_id(server), "gone");
  node.program->suspend();
  disconnect(client);
  server.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  node.program->resume();
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  expect_next_request(node, server);
}

TEST_P(ClientDisconnect, WithHalfABodySentDropsTheRequest) {
  HeldServerDeployment node;
  Connection client = node.client();
  const std::string body(300 * kKibibyte, 'b');
  client.write(RequestBuilder{.id = "gone", .body = body}.text().substr(0, body.size() / 2));
  disconnect(client);
  Connection other = node.client();
  other.write(get_request("first").text());
  Connection server(node.server.accept());
  EXPECT_EQ(read_request_id(server), "first");
  server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(other.read_message()), "ok");
  expect_next_request(node, server);
}

// The client has to be watched also while nothing more of its body can be read: the pipe is full, and what is
// behind it is with the node's machine. An end behind bytes that are still the client's can't be known.
TEST_P(ClientDisconnect, WithHalfABodySentAndAConnectPendingIsNoticed) {
  HeldServerDeployment node;
  node.server.fill_queue();
  Connection client = node.client();
  client.write(RequestBuilder{.id = "gone", .body = std::string(4 * kMebibyte, 'b')}.text().substr(
      0, kMebibyte + 40 * kKibibyte));
  ASSERT_TRUE(
      eventually([&] { return node.server.pending_connects() == 1 && client.unacknowledged_bytes() == 0; }));
  disconnect(client);
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  Connection server(node.server.accept());
  expect_next_request(node, server);
}

TEST_P(ClientDisconnect, DuringAWriteToTheServerWithholdsTheLastByte) {
  HeldServerDeployment node;
  Connection client = node.client();
  const std::size_t length = 48 * kMebibyte;
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(length, 'b')}.text();
  client.write_until_blocked(text);
  Connection server(node.server.accept());
  disconnect(client);
  // A FIN stands behind what the node has no buffer for; a reset is known at once.
  EXPECT_TRUE(!GetParam() || node.logged_disconnect_of("gone"));
  EXPECT_LT(server.read_to_end().size(), length) << "its last byte is withheld";
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  EXPECT_TRUE(node.eventually_has_nothing_in_flight());
}

TEST_P(ClientDisconnect, WithMorePipelinedThanIsReadAheadIsNoticed) {
  HeldServerDeployment node;
  Connection client = node.client();
  std::string behind;
  for (int i = 0; i < 400; ++i) behind += get_request("behind" + std::to_string(i)).text();
  client.write(get_request("gone").text() + behind);
  Connection server(node.server.accept());
  ASSERT_EQ(read_request_id(server), "gone");
  disconnect(client);
  EXPECT_TRUE(node.eventually_has_nothing_in_flight());
  server.write(http_response(200, "late"));
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  expect_next_request(node, server);
}

// A connection has to be read from again once its request has come out of the read-ahead buffer.
TEST_P(ClientDisconnect, OfARequestFromTheReadAheadBufferIsNoticed) {
  HeldServerDeployment node;
  Connection client = node.client();
  const std::string fill = "X-Fill: " + std::string(7 * kKibibyte, 'x') + "\r\n";
  std::string text;
  for (const char* id : {"first", "gone", "behind1", "behind2"}) {
    RequestBuilder request = get_request(id);
    request.fields = fill;
    text += request.text();
  }
  client.write(text);
  Connection server(node.server.accept());
  ASSERT_EQ(read_request_id(server), "first");
  server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(client.read_message()), "ok");
  ASSERT_EQ(read_request_id(server), "gone");
  disconnect(client);
  EXPECT_TRUE(node.eventually_has_nothing_in_flight());
  server.write(http_response(200, "late"));
  EXPECT_TRUE(node.logged_disconnect_of("gone"));
  expect_next_request(node, server);
}

// Where several attempts wait for connections to one server and their connects fail, each failure has to end
// its own attempt: else one would be left without an answer, and one be in flight twice.
TEST(ConnectFailure, OfSeveralPendingConnectsFailsEachAttemptOnce) {
  FullListener full;
  FakeServer other(always_reply(200, "ok"));
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(full.address(), discovery.address());
  config.bounds = bounds_with_slow_connects("true", "3.0");
  NodeProcess program(config.text());
  full.fill_queue();
  std::vector<Connection> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(Connection::to(program.port()));
    clients.back().write(get_request("r" + std::to_string(i)).text());
  }
  ASSERT_TRUE(full.eventually_has_pending_connects(3));
  ASSERT_TRUE(discovery.send_list(endpoint_list(8, false, endpoint("s1", other.address()))));
  for (Connection& client : clients) EXPECT_EQ(status_of(client.read_message()), 200);
  std::map<std::string, int> requests_by_id;
  for (const std::string& request : other.requests()) requests_by_id[field_of(request, "X-Request-ID")] += 1;
  EXPECT_EQ(requests_by_id.size(), clients.size());
  for (const auto& [id, count] : requests_by_id) EXPECT_EQ(count, 1) << id;
}

// A retry that was decided on in time must not go out past the window in which servers recognise it.
TEST(RetryRace, RetryThatWaitsPastTheDedupWindowIsNotSent) {
  Gate gate;
  FakeServer failing(reply_after(gate, 500, "it may have run"));
  FullListener other;
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(failing.address(), discovery.address());
  config.admin = "127.0.0.1:0";
  config.bounds = bounds_with_slow_connects();
  config.classes += "," + class_json("pin", "keyed", R"(,"group":"all","dedupWindow":2.0)", "15.0", "15.0");
  NodeProcess program(config.text());
  Connection client = Connection::to(program.port());
  client.write(RequestBuilder{.request_class = "pin", .id = "pinned", .idempotency_key = "k"}.text());
  ASSERT_TRUE(failing.eventually_received(1));
  other.fill_queue();
  ASSERT_TRUE(discovery.send_list(endpoint_list(
      8, false, endpoint("s0", failing.address(), "draining") + "," + endpoint("s1", other.address()))));
  ASSERT_TRUE(program.eventually_reports(R"("hosts_listed":2,)"));
  gate.open();
  ASSERT_TRUE(other.eventually_has_pending_connects(1));
  std::this_thread::sleep_for(2500ms);  // past the window
  Connection server(other.accept());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 503)
      << "every server recognises retries of it, so that rejecting it is harmless";
  EXPECT_EQ(server.read_to_end(), "");
}

}  // namespace
}  // namespace nettleyoke::node
