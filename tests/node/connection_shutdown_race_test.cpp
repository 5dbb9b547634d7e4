/// @file
/// Races of connections and requests with the graceful shutdown of the node, and of a pending connect with
/// its server being disabled or drained.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <thread>
#include <tuple>

#include "harness/held_server_deployment.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

class PendingConnect : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(ToAServerThat, PendingConnect, testing::Bool(), [](const auto& with) {
  return std::string(with.param ? "IsDisabled" : "IsDraining");
});

// A connect started before its server became draining or disabled must not carry a request afterwards.
TEST_P(PendingConnect, CarriesNoRequestOnceEstablished) {
  HeldServerDeployment node;
  FakeServer other(always_reply(200, "other"));
  node.server.fill_queue();
  Connection client = node.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(node.server.eventually_has_pending_connects(1));
  const std::string s0 = endpoint("s0", node.server.address(), GetParam() ? "up" : "draining");
  ASSERT_TRUE(node.discovery.send_list(endpoint_list(8, false, s0 + "," + endpoint("s1", other.address()))));
  ASSERT_TRUE(node.program->eventually_reports(R"("hosts_listed":2,)"));
  if (GetParam()) {
    EXPECT_EQ(node.program->admin_command("DISABLE s0"), "YES\n");
  }
  Connection server(node.server.accept());
  EXPECT_EQ(body_of(client.read_message()), "other");
  EXPECT_EQ(server.read_to_end(), "");
}

class BodyInProgress : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(ThatIs, BodyInProgress, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Streamed" : "Buffered"); });

// The client timeout starts at the last byte of the request. If that byte arrives after SIGTERM, the request
// must still be answered before the process is killed.
TEST_P(BodyInProgress, AtSigtermIsAnsweredBeforeTheKill) {
  HeldServerDeployment node;
  Connection client = node.client();
  Connection probe = node.client();
  const std::string text =
      RequestBuilder{.body = std::string(GetParam() ? 1200 * kKibibyte : 100 * kKibibyte, 'b')}.text();
  std::size_t sent = text.size() - 32 * kKibibyte;
  client.write(text.substr(0, sent));
  Connection server{FileDescriptor()};
  if (GetParam()) server = Connection(node.server.accept());
  const auto start = std::chrono::steady_clock::now();
  node.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] {
    client.write(text.substr(sent++, 1));  // the body must not stall
    return health_status(probe) == 503;
  }));
  client.write(text.substr(sent));
  if (!GetParam()) server = Connection(node.server.accept());
  for (std::size_t received = 0; received < text.size() - kKibibyte;) {
    const std::string piece = server.read_some();
    ASSERT_NE(piece, "");
    received += piece.size();
  }
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "must end before the client timeout of 15 s";
  EXPECT_EQ(node.program->exit_status(), 0);
}

// When the last byte of a body arrives, counted from SIGTERM, and what the answer has to be.
struct LateBodyCase {
  const char* name;
  std::chrono::milliseconds last_byte_at;
  int status;
  bool is_class_replaced = false;  // by a reload before SIGTERM, with one that has a shorter timeout
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const LateBodyCase& late_body, std::ostream* out) { *out << late_body.name; }

class LateBody : public testing::TestWithParam<std::tuple<LateBodyCase, bool, bool>> {};

constexpr LateBodyCase kLateBodyCases[] = {
    {"BeforeTheLastResponse", 1000ms, 502},
    {"AfterTheLastResponse", 2450ms, 503},
    {"OfAReplacedClass", 1000ms, 502, true},
};

INSTANTIATE_TEST_SUITE_P(Ends, LateBody,
                         testing::Combine(testing::ValuesIn(kLateBodyCases), testing::Bool(),
                                          testing::Bool()),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  (std::get<1>(info.param) ? "Streamed" : "Buffered") +
                                  (std::get<2>(info.param) ? "InATakeover" : "");
                         });

// Prevents this failure: the last byte of an upload arrives so late after SIGTERM that the request's own
// timeout ends after the process is killed, and the request is never answered (lost).
TEST_P(LateBody, IsAnsweredBeforeTheKill) {
  const auto& [late_body, is_streamed, is_takeover] = GetParam();
  const std::string classes = class_json("close", "unsafe", "", "1.0", "2.0");
  constexpr auto kKillAfterSigterm = 2700ms;  // the longest client timeout and 0.7 s
  const FileDescriptor listener = new_tcp_socket();
  ASSERT_GT(listen_on_loopback(listener, 0, 128), 0);
  OneServerDeployment deployment(never_reply(),
                                 late_body.is_class_replaced ? NodeConfig{} : NodeConfig{.classes = classes},
                                 is_takeover ? options_with_inherited_listener(listener) : StartOptions{});
  Connection client = deployment.client();
  const std::string text =
      RequestBuilder{.body = std::string((is_streamed ? 1200 : 300) * kKibibyte, 'b')}.text();
  std::size_t sent = text.size() - 32 * kKibibyte;
  client.write(text.substr(0, sent));
  // A streamed request has its class once it is passed on, a buffered one once it is complete.
  const int expected_connections = is_streamed ? 1 : 0;
  ASSERT_TRUE(
      eventually([&] { return deployment.server.listener().open_connections() == expected_connections; }));
  if (late_body.is_class_replaced) {
    NodeConfig config = deployment.config;
    config.classes = classes;
    deployment.reload(config);
  }
  const auto sigterm_at = std::chrono::steady_clock::now();
  deployment.program->signal(SIGTERM);
  while (std::chrono::steady_clock::now() < sigterm_at + late_body.last_byte_at) {
    client.write(text.substr(sent++, 1));  // the body must not stall
    std::this_thread::sleep_for(20ms);
  }
  client.write(text.substr(sent));
  EXPECT_EQ(status_of(client.read_message()), late_body.status);
  EXPECT_LT(std::chrono::steady_clock::now() - sigterm_at, kKillAfterSigterm);
  EXPECT_EQ(deployment.server.requests().size(), late_body.status == 502 ? 1 : 0)
      << "a request that is rejected must not run";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// Prevents this failure: a slow server keeps the node from reading the end of an upload, and the client,
// which has sent all of it, gets no answer before the process is killed (lost).
TEST(GracefulShutdown, UploadThatItsServerReadsSlowlyIsAnsweredBeforeTheKill) {
  constexpr auto kKillAfterSigterm = 1200ms;  // the longest client timeout and 0.7 s
  Listener slow([](Connection& connection) {
    while (!connection.read_some().empty()) std::this_thread::sleep_for(20ms);
  });
  NodeConfig config = config_with_server(slow.address());
  config.classes = classes_with_short_timeout();
  NodeProcess program(config.text());
  Connection client = Connection::to(program.port());
  std::thread upload(
      [&client] { client.write(RequestBuilder{.body = std::string(32 * kMebibyte, 'b')}.text()); });
  ASSERT_TRUE(eventually([&] { return slow.open_connections() == 1; }));
  const auto sigterm_at = std::chrono::steady_clock::now();
  program.signal(SIGTERM);
  EXPECT_EQ(status_of(client.read_message()), 503);
  EXPECT_LT(std::chrono::steady_clock::now() - sigterm_at, kKillAfterSigterm);
  program.signal(SIGKILL);  // ends the upload
  EXPECT_EQ(program.exit_status(), -1);
  upload.join();
}

// Requests that the node has read must not be dropped with the connection during the pause after an error
// response: the node serves pipelined requests until a response announces the close of the connection.
TEST(GracefulShutdown, RequestPipelinedBehindAnErrorIsAnswered) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.classes = classes_with_short_timeout()});
  std::string requests;
  for (int i = 0; i < 20; ++i)
    requests += RequestBuilder{.request_class = "unknown", .body = ""}.text() +
                RequestBuilder{.id = "r" + std::to_string(i), .timeout_ms = "500"}.text();
  std::vector<Connection> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(requests);
    ASSERT_EQ(status_of(clients.back().read_message()), 400);
  }
  deployment.program->signal(SIGTERM);
  for (Connection& client : clients) {
    std::string last;
    for (std::string next = client.read_message(); !next.empty(); next = client.read_message()) last = next;
    EXPECT_EQ(field_of(last, "Connection"), "close") << last;
  }
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// A large response that the client has received in part; the server sends the rest once the gate is open.
struct StreamedResponse {
  explicit StreamedResponse(std::string head) {
    server = std::make_unique<FakeServer>(
        [this, head = std::move(head)](Connection& connection, const std::string&) {
          connection.write(head + std::string(512 * kKibibyte, 'a'));
          gate.wait();
          return connection.write(std::string(512 * kKibibyte, 'b')) && false;
        });
    deployment = std::make_unique<Deployment>(std::vector<FakeServer*>{server.get()});
    client = deployment->client();
    client.write(RequestBuilder{}.text());
    while (received.size() < 256 * kKibibyte) {
      const std::string piece = client.read_some();
      if (piece.empty()) break;
      received += piece;
    }
  }
  Gate gate;
  std::unique_ptr<FakeServer> server;
  std::unique_ptr<Deployment> deployment;
  Connection client{FileDescriptor()};
  std::string received;
};

// After its response, the connection is closed sooner than an idle one would be.
TEST(GracefulShutdown, StreamedResponseIsCompleted) {
  StreamedResponse response("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kMebibyte) + "\r\n\r\n");
  NodeConfig config = response.deployment->config;
  config.classes = classes_with_short_timeout();
  response.deployment->reload(config);
  Connection idle = response.deployment->client();
  ASSERT_EQ(health_status(idle), 200);
  response.deployment->program->signal(SIGTERM);
  EXPECT_EQ(idle.read_to_end(), "") << "idle connections are closed first";
  const auto start = std::chrono::steady_clock::now();
  response.gate.open();
  response.received += response.client.read_to_end();
  EXPECT_EQ(body_of(response.received).size(), kMebibyte);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 7s)
      << "must end before the 10 s for which an idle connection may stay open";
  EXPECT_EQ(response.deployment->program->exit_status(), 0);
}

// A response that SIGKILL truncates must not look complete to the client.
TEST(GracefulShutdown, StreamedResponseTruncatedByAKillIsNotComplete) {
  StreamedResponse response("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  response.deployment->program->signal(SIGTERM);
  response.deployment->program->signal(SIGKILL);
  response.received += response.client.read_to_end();
  EXPECT_NE(field_of(response.received, "Transfer-Encoding"), "") << response.received.substr(0, 200);
  EXPECT_EQ(response.received.find("\r\n0\r\n"), std::string::npos);
  EXPECT_EQ(response.deployment->program->exit_status(), -1);
  response.gate.open();
}

}  // namespace
}  // namespace nettleyoke::node
