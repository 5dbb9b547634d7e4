/// @file
/// An attempt that the node has given up must not reach its server afterwards. The server hangs: its system
/// receives only a part of the request, and the node's system holds the rest. When the server continues, the
/// rest must not follow, or the server would process a request that was answered long ago.
#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <tuple>

#include "harness/held_server_deployment.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// Holds a part of a request only; the node's system holds all of it.
constexpr int kReceiveBufferBytes = 16 * 1024;
constexpr std::size_t kBufferedBodyBytes = 300 * kKibibyte;
constexpr std::size_t kStreamedBodyBytes = 1200 * kKibibyte;

// A client, and a server that hangs with a part of the client's request.
struct HungServer {
  HungServer(bool is_streamed, bool can_cancel, const StartOptions& options = {})
      : body_bytes(is_streamed ? kStreamedBodyBytes : kBufferedBodyBytes), node(can_cancel, options) {
    node.server.set_receive_buffer(kReceiveBufferBytes);
  }
  // Returns once the node has written the whole request.
  void send_request(const std::string& timeout_ms) {
    client = node.client();
    client.write(RequestBuilder{.request_class = "mark",
                                .id = "hung",
                                .body = std::string(body_bytes, 'b'),
                                .timeout_ms = timeout_ms,
                                .idempotency_key = "k"}
                     .text());
    server = Connection(node.server.accept());
    ASSERT_TRUE(node.program->eventually_reports(R"("backend_calls":1,)"));
  }
  // The server continues, reads all that its system gets, and has received an incomplete body.
  void expect_incomplete_body() { EXPECT_LT(body_of(server.read_to_end()).size(), body_bytes); }

  std::size_t body_bytes;
  HeldServerDeployment node;
  Connection client{FileDescriptor()};
  Connection server{FileDescriptor()};
};

// How an attempt ends; returns once it has ended.
struct EndCase {
  const char* name;
  bool can_cancel;  // whether the settings let the node cancel attempts that were sent
  void (*end_attempt)(HungServer&);
  bool inherits_listener = false;
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const EndCase& end_case, std::ostream* out) { *out << end_case.name; }

void by_timeout(HungServer& hung) {
  hung.send_request("500");
  EXPECT_EQ(status_of(hung.client.read_message()), 502);
}

void by_timeout_and_retry(HungServer& hung) {
  FakeServer other(always_reply(200, "other"));
  hung.send_request("15000");
  ASSERT_TRUE(hung.node.discovery.send_list(endpoint_list(8, false, endpoint("s1", other.address()))));
  const std::string response = hung.client.read_message();
  // The part of a streamed body that was sent is no longer in memory, so that it can't be sent again.
  EXPECT_EQ(status_of(response), hung.body_bytes == kStreamedBodyBytes ? 502 : 200) << response;
}

void by_timeout_after_the_server_was_removed(HungServer& hung) {
  hung.send_request("1500");
  ASSERT_TRUE(hung.node.discovery.send_list(endpoint_list(8, true, endpoint("s1", "127.0.0.1:9"))));
  EXPECT_EQ(status_of(hung.client.read_message()), 502);
}

void by_timeout_after_a_reload(HungServer& hung) {
  hung.send_request("1500");
  NodeConfig config = config_with_server(hung.node.server.address(), hung.node.discovery.address());
  config.admin = "127.0.0.1:0";
  config.classes = classes_with_short_timeout();
  hung.node.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return hung.node.program->count_in_log("reload: discovery at") == 1; }));
  EXPECT_EQ(status_of(hung.client.read_message()), 502);
}

// The server continues more than 0.1 s after the disconnect: an attempt that begins then is forbidden.
void by_disconnect_of_the_client(HungServer& hung) {
  hung.send_request("15000");
  hung.client.close();
  EXPECT_TRUE(hung.node.logged_disconnect_of("hung"));
  EXPECT_EQ(hung.node.program->count_in_log("s0 cancelled after"), 1) << hung.node.program->log();
}

void by_sigterm(HungServer& hung) {
  hung.send_request("15000");
  hung.node.program->signal(SIGTERM);
  EXPECT_EQ(status_of(hung.client.read_message()), 502);
  EXPECT_EQ(hung.node.program->exit_status(), 0);
}

// The client has left as well, so that the process ends at once with the attempt still in flight.
void by_sigterm_after_the_disconnect_of_the_client(HungServer& hung) {
  hung.send_request("15000");
  hung.node.program->suspend();
  hung.client.close();
  hung.node.program->signal(SIGTERM);
  hung.node.program->resume();
  EXPECT_EQ(hung.node.program->exit_status(), 0);
}

void by_sigkill(HungServer& hung) {
  hung.send_request("15000");
  hung.node.program->signal(SIGKILL);
  EXPECT_EQ(hung.node.program->exit_status(), -1);
}

class AbandonedAttempt : public testing::TestWithParam<std::tuple<EndCase, bool>> {};

INSTANTIATE_TEST_SUITE_P(
    Ended, AbandonedAttempt,
    testing::Combine(
        testing::Values(
            EndCase{"ByTimeout", true, by_timeout}, EndCase{"ByTimeoutAndRetry", true, by_timeout_and_retry},
            EndCase{"ByTimeoutAfterTheServerWasRemoved", true, by_timeout_after_the_server_was_removed},
            EndCase{"ByTimeoutAfterAReload", true, by_timeout_after_a_reload},
            EndCase{"ByDisconnect", true, by_disconnect_of_the_client},
            EndCase{"ByDisconnectWithoutCancel", false, by_disconnect_of_the_client},
            EndCase{"BySigterm", true, by_sigterm}, EndCase{"BySigtermInATakeover", true, by_sigterm, true},
            EndCase{"BySigtermWithoutCancel", false, by_sigterm},
            EndCase{"BySigtermAfterADisconnect", false, by_sigterm_after_the_disconnect_of_the_client},
            EndCase{"BySigkill", true, by_sigkill}),
        testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "Streamed" : "Buffered");
    });

// Prevents this failure: a hung server gets the rest of a request after the node gave the attempt up
// (duplicate).
TEST_P(AbandonedAttempt, IsNotCompletedWhenItsServerContinues) {
  const auto& [end_case, is_streamed] = GetParam();
  const FileDescriptor listener = new_tcp_socket();
  ASSERT_GT(listen_on_loopback(listener, 0, 128), 0);
  HungServer hung(is_streamed, end_case.can_cancel,
                  end_case.inherits_listener ? options_with_inherited_listener(listener) : StartOptions{});
  end_case.end_attempt(hung);
  if (HasFatalFailure()) return;
  hung.expect_incomplete_body();
}

// Prevents this failure: a hung server gets the rest of a retry after the time in which servers drop repeats
// of the request (duplicate). The attempt itself would have time for longer.
TEST(AbandonedAttempt, RetryIsNotCompletedAfterTheDedupWindow) {
  Gate gate;
  FakeServer failing(reply_after(gate, 500, "it may have run"));
  FullListener hanging;
  hanging.set_receive_buffer(kReceiveBufferBytes);
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(failing.address(), discovery.address());
  config.admin = "127.0.0.1:0";
  config.classes += "," + class_json("pin", "keyed", R"(,"group":"all","dedupWindow":2.0)", "15.0", "15.0");
  const NodeProcess program(config.text());
  Connection client = Connection::to(program.port());
  client.write(RequestBuilder{.request_class = "pin",
                              .id = "pinned",
                              .body = std::string(kBufferedBodyBytes, 'b'),
                              .idempotency_key = "k"}
                   .text());
  ASSERT_TRUE(failing.eventually_received(1));
  ASSERT_TRUE(discovery.send_list(endpoint_list(
      8, false, endpoint("s0", failing.address(), "draining") + "," + endpoint("s1", hanging.address()))));
  ASSERT_TRUE(program.eventually_reports(R"("hosts_listed":2,)"));
  gate.open();
  Connection server(hanging.accept());
  ASSERT_TRUE(program.eventually_reports(R"("backend_calls":2,)"));
  std::this_thread::sleep_for(2500ms);  // past the dedup window
  EXPECT_LT(body_of(server.read_to_end()).size(), kBufferedBodyBytes);
  EXPECT_EQ(status_of(client.read_message()), 503);
}

}  // namespace
}  // namespace nettleyoke::node
