/// @file
/// A client that closes its connection, by FIN or by RST, has disconnected: from then on nothing is forwarded
/// for it, whatever its request waits for. Each state is brought about by the peers' own acts. Where two of
/// them have to reach the node in one turn of its event loop it is suspended meanwhile.
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <array>
#include <set>
#include <tuple>
#include <vector>

#include "harness/held_server_deployment.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// A node, its client and its server.
struct Scene {
  explicit Scene(bool reset) : by_reset(reset) {}
  void disconnect() { by_reset ? client.reset() : client.close(); }
  void serve_one_request() {
    client.write(get_request("before").text());
    server = Connection(node.server.accept());
    EXPECT_EQ(read_request_id(server), "before");
    server.write(http_response(200, "ok"));
    EXPECT_EQ(body_of(client.read_message()), "ok");
  }
  // Suspends the node once its connection to the server is out of quarantine.
  void suspend_after_quarantine() const {
    node.program->suspend();
    std::this_thread::sleep_for(10ms);
  }
  // Disconnects the client once the server has `nearly` all bytes that were sent of its request; returns all
  // that it got.
  std::string read_all_with_disconnect_after(std::size_t nearly) {
    std::string all;
    while (all.size() < nearly) {
      const std::string piece = server.read_some();
      if (piece.empty()) break;
      all += piece;
    }
    EXPECT_GE(all.size(), nearly);
    disconnect();
    all += server.read_to_end();
    server.close();
    return all;
  }

  bool by_reset;
  HeldServerDeployment node;
  Connection client = node.client();
  Connection server{FileDescriptor()};  // the connection that may carry the next request
};

struct DisconnectCase {
  const char* name;
  void (*force)(Scene&);
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const DisconnectCase& state, std::ostream* out) { *out << state.name; }

// What a client wrote before it disconnected is read before its end, however long ago that was.
void in_the_accept_queue(Scene& scene) {
  scene.serve_one_request();
  scene.suspend_after_quarantine();
  scene.client = scene.node.client();
  scene.client.write(RequestBuilder{.id = "gone"}.text());
  scene.disconnect();
  scene.node.program->resume();
}

void in_the_turn_of_its_request(Scene& scene) {
  scene.serve_one_request();
  scene.suspend_after_quarantine();
  scene.client.write(RequestBuilder{.id = "gone"}.text());
  scene.disconnect();
  scene.node.program->resume();
}

void in_the_turn_of_its_bodys_end(Scene& scene) {
  scene.serve_one_request();
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(4 * kKibibyte, 'b')}.text();
  scene.client.write(text.substr(0, text.size() / 2));
  scene.suspend_after_quarantine();
  scene.client.write(text.substr(text.size() / 2));
  scene.disconnect();
  scene.node.program->resume();
}

void just_after_the_connect_completes(Scene& scene) {
  scene.node.server.fill_queue();
  scene.client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(scene.node.server.eventually_has_pending_connects(1));
  scene.node.program->suspend();
  scene.server = Connection(scene.node.server.accept());
  scene.disconnect();
  scene.node.program->resume();
}

void during_quarantine_of_the_connection(Scene& scene) {
  scene.serve_one_request();
  Connection first = scene.node.client();
  first.write(get_request("first").text());
  ASSERT_EQ(read_request_id(scene.server), "first");
  scene.node.program->suspend();
  scene.server.write(http_response(200, "ok"));
  scene.client.write(RequestBuilder{.id = "gone"}.text());
  scene.disconnect();
  scene.node.program->resume();
  EXPECT_EQ(body_of(first.read_message()), "ok");
}

void while_the_connect_of_a_retry_is_pending(Scene& scene) {
  scene.client.write(RequestBuilder{.id = "gone"}.text());
  Connection first(scene.node.server.accept());
  ASSERT_EQ(read_request_id(first), "gone");
  scene.node.server.fill_queue();
  first.write(http_response(503, "", "X-Not-Processed: 1\r\nConnection: close\r\n"));
  ASSERT_TRUE(scene.node.server.eventually_has_pending_connects(1));
  scene.disconnect();
  EXPECT_TRUE(scene.node.has_nothing_in_flight());
  scene.server = Connection(scene.node.server.accept());
}

// The server has read all that was sent of a streamed body, and waits for the rest.
void with_the_rest_of_its_body_to_come(Scene& scene) {
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(2 * kMebibyte, 'b')}.text();
  const std::size_t part = kMebibyte + 64 * kKibibyte;
  scene.client.write(text.substr(0, part));
  scene.server = Connection(scene.node.server.accept());
  EXPECT_LT(scene.read_all_with_disconnect_after(part - 16 * kKibibyte).size(), text.size() - kKibibyte);
}

void with_the_rest_of_its_chunks_to_come(Scene& scene) {
  const std::string piece = http_chunk(std::string(64 * kKibibyte, 'b'));
  std::string text =
      RequestBuilder{.id = "gone", .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text();
  for (std::size_t i = 0; i < 20; ++i) text += piece;
  scene.client.write(text);
  scene.server = Connection(scene.node.server.accept());
  EXPECT_FALSE(
      scene.read_all_with_disconnect_after(std::size_t{19} * 64 * kKibibyte).ends_with("\r\n0\r\n\r\n"));
}

// The last bytes of a streamed body must not be passed on for a client that has disconnected behind them.
void in_the_turn_of_a_streamed_bodys_end(Scene& scene) {
  const std::string text =
      RequestBuilder{.id = "gone", .body = std::string(kMebibyte + 64 * kKibibyte, 'b')}.text();
  const std::size_t last = 2 * kKibibyte;
  scene.client.write(text.substr(0, text.size() - last));
  scene.server = Connection(scene.node.server.accept());
  std::size_t received = 0;
  while (received < text.size() - last - kKibibyte) received += scene.server.read_some().size();
  scene.node.program->suspend();
  scene.client.write(text.substr(text.size() - last));
  scene.disconnect();
  scene.node.program->resume();
  while (scene.server.receive_more()) received += scene.server.read_some().size();
  EXPECT_LT(received, text.size() - last + kKibibyte) << "the last byte is withheld";
  scene.server.close();
}

// No request may begin for a client whose end came while the response before was being written: the client
// takes it in a little at a time, so that this can't be done at once.
void while_the_response_before_is_written(Scene& scene) {
  FileDescriptor socket = new_tcp_socket();
  const int receive_buffer = 4096;
  const int segment = 536;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ASSERT_TRUE(connect_to_loopback(socket, scene.node.program->port()));
  scene.client = Connection(std::move(socket));
  scene.client.write(get_request("before").text() + get_request("gone").text());
  scene.server = Connection(scene.node.server.accept());
  ASSERT_EQ(read_request_id(scene.server), "before");
  const std::string body(60 * kKibibyte, 'b');
  scene.server.write(http_response(200, body));
  pollfd response_begun{scene.client.fd(), POLLIN, 0};
  ASSERT_EQ(::poll(&response_begun, 1, kWaitLimitMilliseconds), 1);
  if (scene.by_reset) return scene.disconnect();
  ::shutdown(scene.client.fd(), SHUT_WR);
  EXPECT_EQ(body_of(scene.client.read_message()), body);
  EXPECT_EQ(scene.client.read_to_end(), "") << "and no further request begins";
}

void in_the_pause_after_an_error(Scene& scene) {
  scene.serve_one_request();
  scene.suspend_after_quarantine();
  scene.client.write(RequestBuilder{.request_class = "unknown", .body = ""}.text() +
                     get_request("gone").text());
  scene.disconnect();
  scene.node.program->resume();
}

class DisconnectState : public testing::TestWithParam<std::tuple<DisconnectCase, bool>> {};

INSTANTIATE_TEST_SUITE_P(
    States, DisconnectState,
    testing::Combine(
        testing::Values(
            DisconnectCase{"InTheAcceptQueue", in_the_accept_queue},
            DisconnectCase{"InTheTurnOfItsRequest", in_the_turn_of_its_request},
            DisconnectCase{"InTheTurnOfItsBodysEnd", in_the_turn_of_its_bodys_end},
            DisconnectCase{"JustAfterTheConnectCompletes", just_after_the_connect_completes},
            DisconnectCase{"DuringQuarantineOfTheConnection", during_quarantine_of_the_connection},
            DisconnectCase{"WhileTheConnectOfARetryIsPending", while_the_connect_of_a_retry_is_pending},
            DisconnectCase{"WithTheRestOfItsBodyToCome", with_the_rest_of_its_body_to_come},
            DisconnectCase{"WithTheRestOfItsChunksToCome", with_the_rest_of_its_chunks_to_come},
            DisconnectCase{"InTheTurnOfAStreamedBodysEnd", in_the_turn_of_a_streamed_bodys_end},
            DisconnectCase{"WhileTheResponseBeforeIsWritten", while_the_response_before_is_written},
            DisconnectCase{"InThePauseAfterAnError", in_the_pause_after_an_error}),
        testing::Bool()),
    [](const auto& with) {
      return std::string(std::get<0>(with.param).name) + (std::get<1>(with.param) ? "ByReset" : "ByFin");
    });

TEST_P(DisconnectState, NothingMoreIsForwarded) {
  Scene scene(std::get<1>(GetParam()));
  std::get<0>(GetParam()).force(scene);
  if (HasFatalFailure()) return;
  Connection connected = scene.node.client();
  connected.write(get_request("connected").text());
  if (!scene.server.is_open()) scene.server = Connection(scene.node.server.accept());
  EXPECT_EQ(read_request_id(scene.server), "connected");
  scene.server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(connected.read_message()), "ok");
  EXPECT_TRUE(scene.node.has_nothing_in_flight());
  while (scene.node.server.has_waiting()) {  // connects that were pending
    const Connection spare(scene.node.server.accept());
    char byte = 0;
    EXPECT_LE(::recv(spare.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), 0) << "forwarded there";
  }
}

// A thousand connections, some of them with a request in flight and more behind it than is read ahead, all
// disconnected in one instant in which the responses come too.
class MassDisconnect : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(By, MassDisconnect, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Reset" : "Fin"); });

TEST_P(MassDisconnect, NothingMoreIsForwarded) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t idle = limit.rlim_max >= 1200 ? 1000 : 300;
  constexpr std::size_t busy = 6;
  Gate gate;
  // The node has capacity for two requests in flight at a server that has not answered yet. The allowance for
  // more fades within seconds, and the idle clients may take longer than that to connect.
  std::array<FakeServer, busy / 2> servers{FakeServer(reply_after(gate)), FakeServer(reply_after(gate)),
                                           FakeServer(reply_after(gate))};
  const auto forwarded = [&servers] {
    std::multiset<std::string> ids;
    for (FakeServer& server : servers) {
      for (const std::string& request : server.requests()) ids.insert(field_of(request, "X-Request-ID"));
    }
    return ids;
  };
  NodeConfig config;
  config.sockets = 4096;
  config.admin = "127.0.0.1:0";
  config.bounds = R"("cancel":false,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0,"maxOpen":4096)";
  Deployment deployment({&servers[0], &servers[1], &servers[2]}, config);
  std::vector<Connection> clients;
  for (std::size_t i = 0; i < idle; ++i) {
    clients.push_back(deployment.client());
    ASSERT_EQ(health_status(clients.back()), 200);
  }
  std::multiset<std::string> expected;
  for (std::size_t i = 0; i < busy; ++i) {
    clients.push_back(deployment.client());
    const std::string id = "first" + std::to_string(i);
    expected.insert(id);
    std::string text = get_request(id).text();
    while (text.size() < 40 * kKibibyte) text += get_request("behind").text();
    clients.back().write(text);
  }
  eventually([&] { return forwarded().size() >= busy; });
  ASSERT_EQ(forwarded(), expected);
  deployment.program->suspend();
  for (Connection& client : clients) GetParam() ? client.reset() : client.close();
  gate.open();
  deployment.program->resume();
  EXPECT_TRUE(deployment.program->eventually_reports(R"("inflight":0,)"));
  Connection connected = deployment.client();
  EXPECT_EQ(body_of(exchange(connected, get_request("connected"))), "ok");
  expected.insert("connected");
  EXPECT_EQ(forwarded(), expected);
}

}  // namespace
}  // namespace nettleyoke::node
