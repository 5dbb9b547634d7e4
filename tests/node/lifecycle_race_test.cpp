/// @file
/// Races between the end of a client connection, a connect or a time window and an event that comes at the
/// same moment; docs/lifecycle-races.md lists them. Each test forces its race by the order in which client,
/// server and discovery act. If two actions must reach the node in one iteration of its event loop, the node
/// is suspended while they happen; after it resumes it finds both, in the order in which they happened.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "harness/held_server_deployment.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// After a client has disconnected, by FIN or by RST, its request must be neither forwarded nor retried.
class ClientDisconnect : public testing::TestWithParam<bool> {
 protected:
  static void disconnect(Connection& client) { GetParam() ? client.reset() : client.close(); }
  // Expects that the next request the server receives is that of a client that is still connected.
  static void expect_next_request(HeldServerDeployment& deployment, Connection& server) {
    Connection connected = deployment.client();
    connected.write(get_request("connected").text());
    EXPECT_EQ(read_request_id(server), "connected");
    server.write(http_response(200, "ok"));
    EXPECT_EQ(body_of(connected.read_message()), "ok");
    EXPECT_TRUE(deployment.eventually_has_nothing_in_flight());
  }
};

INSTANTIATE_TEST_SUITE_P(By, ClientDisconnect, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Reset" : "Fin"); });

TEST_P(ClientDisconnect, WhileAConnectIsPendingDropsTheRequest) {
  HeldServerDeployment deployment;
  deployment.server.fill_queue();
  Connection client = deployment.client();
  client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(deployment.server.eventually_has_pending_connects(1));
  disconnect(client);
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  Connection server(deployment.server.accept());
  expect_next_request(deployment, server);
}

// The attempt must end in the same iteration of the event loop in which it is cancelled: otherwise a
// connection that is established one iteration later would still send the request.
TEST_P(ClientDisconnect, JustBeforeAConnectCompletesDropsTheRequest) {
  HeldServerDeployment deployment(true);
  deployment.server.fill_queue();
  Connection client = deployment.client();
  client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(deployment.server.eventually_has_pending_connects(1));
  deployment.program->suspend();
  disconnect(client);
  Connection server(deployment.server.accept());
  deployment.program->resume();
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  expect_next_request(deployment, server);
}

TEST_P(ClientDisconnect, DuringQuarantineOfTheConnectionDropsTheRequest) {
  HeldServerDeployment deployment;
  Connection first = deployment.client();
  Connection client = deployment.client();
  first.write(get_request("first").text());
  Connection server(deployment.server.accept());
  ASSERT_EQ(read_request_id(server), "first");
  deployment.program->suspend();
  server.write(http_response(200, "ok"));
  client.write(RequestBuilder{.id = "gone"}.text());
  disconnect(client);
  deployment.program->resume();
  EXPECT_EQ(body_of(first.read_message()), "ok");
  EXPECT_TRUE(GetParam() || deployment.logged_disconnect_of("gone"))
      << "a reset may arrive before the node has read the request";
  expect_next_request(deployment, server);
}

TEST_P(ClientDisconnect, JustBeforeARetryPreventsIt) {
  HeldServerDeployment deployment;
  Connection client = deployment.client();
  client.write(get_request("gone").text());
  Connection server(deployment.server.accept());
  ASSERT_EQ(read_request_id(server), "gone");
  deployment.program->suspend();
  disconnect(client);
  server.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  deployment.program->resume();
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  expect_next_request(deployment, server);
}

TEST_P(ClientDisconnect, WithHalfABodySentDropsTheRequest) {
  HeldServerDeployment deployment;
  Connection client = deployment.client();
  const std::string body(300 * kKibibyte, 'b');
  client.write(RequestBuilder{.id = "gone", .body = body}.text().substr(0, body.size() / 2));
  disconnect(client);
  Connection next = deployment.client();
  next.write(get_request("first").text());
  Connection server(deployment.server.accept());
  EXPECT_EQ(read_request_id(server), "first");
  server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(next.read_message()), "ok");
  expect_next_request(deployment, server);
}

// The node must detect a disconnect even while it cannot read more of the body: the body pipe is full, and
// the rest of what the client sent is in the node's socket buffer. The test waits until all bytes are
// acknowledged, because the node cannot detect a disconnect behind bytes that are still on the client's side.
TEST_P(ClientDisconnect, WithHalfABodySentAndAConnectPendingIsDetected) {
  HeldServerDeployment deployment;
  deployment.server.fill_queue();
  Connection client = deployment.client();
  client.write(RequestBuilder{.id = "gone", .body = std::string(4 * kMebibyte, 'b')}.text().substr(
      0, kMebibyte + 40 * kKibibyte));
  ASSERT_TRUE(eventually(
      [&] { return deployment.server.pending_connects() == 1 && client.unacknowledged_bytes() == 0; }));
  disconnect(client);
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  Connection server(deployment.server.accept());
  expect_next_request(deployment, server);
}

TEST_P(ClientDisconnect, DuringAWriteToTheServerWithholdsTheLastByte) {
  HeldServerDeployment deployment;
  Connection client = deployment.client();
  const std::size_t length = 48 * kMebibyte;
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(length, 'b')}.text();
  client.write_until_blocked(text);
  Connection server(deployment.server.accept());
  disconnect(client);
  // A FIN is queued behind bytes that the node has no buffer for; a reset is visible immediately.
  EXPECT_TRUE(!GetParam() || deployment.logged_disconnect_of("gone"));
  EXPECT_LT(server.read_to_end().size(), length) << "the node must withhold the last byte";
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  EXPECT_TRUE(deployment.eventually_has_nothing_in_flight());
}

TEST_P(ClientDisconnect, WithMorePipelinedThanTheReadAheadBufferHoldsIsDetected) {
  HeldServerDeployment deployment;
  Connection client = deployment.client();
  std::string pipelined;
  for (int i = 0; i < 400; ++i) pipelined += get_request("behind" + std::to_string(i)).text();
  client.write(get_request("gone").text() + pipelined);
  Connection server(deployment.server.accept());
  ASSERT_EQ(read_request_id(server), "gone");
  disconnect(client);
  EXPECT_TRUE(deployment.eventually_has_nothing_in_flight());
  server.write(http_response(200, "late"));
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  expect_next_request(deployment, server);
}

// The node must resume reading from a connection once it has taken the request from the read-ahead buffer.
TEST_P(ClientDisconnect, OfARequestFromTheReadAheadBufferIsDetected) {
  HeldServerDeployment deployment;
  Connection client = deployment.client();
  const std::string fill = "X-Fill: " + std::string(7 * kKibibyte, 'x') + "\r\n";
  std::string text;
  for (const char* id : {"first", "gone", "behind1", "behind2"}) {
    RequestBuilder request = get_request(id);
    request.fields = fill;
    text += request.text();
  }
  client.write(text);
  Connection server(deployment.server.accept());
  ASSERT_EQ(read_request_id(server), "first");
  server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(client.read_message()), "ok");
  ASSERT_EQ(read_request_id(server), "gone");
  disconnect(client);
  EXPECT_TRUE(deployment.eventually_has_nothing_in_flight());
  server.write(http_response(200, "late"));
  EXPECT_TRUE(deployment.logged_disconnect_of("gone"));
  expect_next_request(deployment, server);
}

// If several attempts wait for connections to one server and the connects fail, each failure must end its own
// attempt. Otherwise one request would get no response and another would be in flight twice.
TEST(ConnectFailure, OfSeveralPendingConnectsEndsEachAttemptOnce) {
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

// A retry that was decided on within the dedup window must not be sent after that window: servers no longer
// recognise it then.
TEST(RetryRace, RetryThatWaitsForAConnectPastTheDedupWindowIsNotSent) {
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
  std::this_thread::sleep_for(2500ms);  // past the dedup window
  Connection server(other.accept());
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), 503)
      << "every server recognises retries of this request, so that rejecting it is harmless";
  EXPECT_EQ(server.read_to_end(), "");
}

}  // namespace
}  // namespace nettleyoke::node
