/// @file
/// After a client has closed its connection, by FIN or by RST, the node forwards nothing more for it,
/// whatever state its request is in. The client and the server of the test bring about each state. The node
/// is suspended while they act if it must see several events in one iteration of its event loop.
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

// A node with a server, and the client that disconnects.
struct DisconnectSetup {
  explicit DisconnectSetup(bool reset) : by_reset(reset) {}
  void disconnect() { by_reset ? client.reset() : client.close(); }
  void serve_one_request() {
    client.write(get_request("before").text());
    server = Connection(node.server.accept());
    EXPECT_EQ(read_request_id(server), "before");
    server.write(http_response(200, "ok"));
    EXPECT_EQ(body_of(client.read_message()), "ok");
  }
  // Waits for the quarantine of the connection to the server to end, with the node suspended.
  void suspend_after_quarantine() const {
    node.program->suspend();
    std::this_thread::sleep_for(10ms);
  }
  // Disconnects the client once the server has received at least `minimum` bytes of the request. Returns all
  // bytes that the server receives until the end of the connection.
  std::string read_all_with_disconnect_after(std::size_t minimum) {
    std::string all;
    while (all.size() < minimum) {
      const std::string piece = server.read_some();
      if (piece.empty()) break;
      all += piece;
    }
    EXPECT_GE(all.size(), minimum);
    disconnect();
    all += server.read_to_end();
    server.close();
    return all;
  }

  bool by_reset;
  HeldServerDeployment node;
  Connection client = node.client();
  // The server's end of the connection on which the node may send the next request.
  Connection server{FileDescriptor()};
};

struct DisconnectCase {
  const char* name;
  void (*disconnect_in_state)(DisconnectSetup&);  // brings about the state and disconnects the client
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const DisconnectCase& disconnect_case, std::ostream* out) { *out << disconnect_case.name; }

// The node accepts the connection after the disconnect, and reads the request before the end of the
// connection.
void in_the_accept_queue(DisconnectSetup& setup) {
  setup.serve_one_request();
  setup.suspend_after_quarantine();
  setup.client = setup.node.client();
  setup.client.write(RequestBuilder{.id = "gone"}.text());
  setup.disconnect();
  setup.node.program->resume();
}

void in_the_same_iteration_as_its_request(DisconnectSetup& setup) {
  setup.serve_one_request();
  setup.suspend_after_quarantine();
  setup.client.write(RequestBuilder{.id = "gone"}.text());
  setup.disconnect();
  setup.node.program->resume();
}

void in_the_same_iteration_as_the_end_of_its_body(DisconnectSetup& setup) {
  setup.serve_one_request();
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(4 * kKibibyte, 'b')}.text();
  setup.client.write(text.substr(0, text.size() / 2));
  setup.suspend_after_quarantine();
  setup.client.write(text.substr(text.size() / 2));
  setup.disconnect();
  setup.node.program->resume();
}

void just_after_the_connect_completes(DisconnectSetup& setup) {
  setup.node.server.fill_queue();
  setup.client.write(RequestBuilder{.id = "gone"}.text());
  ASSERT_TRUE(setup.node.server.eventually_has_pending_connects(1));
  setup.node.program->suspend();
  setup.server = Connection(setup.node.server.accept());
  setup.disconnect();
  setup.node.program->resume();
}

void during_quarantine_of_the_connection(DisconnectSetup& setup) {
  setup.serve_one_request();
  Connection first = setup.node.client();
  first.write(get_request("first").text());
  ASSERT_EQ(read_request_id(setup.server), "first");
  setup.node.program->suspend();
  setup.server.write(http_response(200, "ok"));
  setup.client.write(RequestBuilder{.id = "gone"}.text());
  setup.disconnect();
  setup.node.program->resume();
  EXPECT_EQ(body_of(first.read_message()), "ok");
}

void while_the_connect_of_a_retry_is_pending(DisconnectSetup& setup) {
  setup.client.write(RequestBuilder{.id = "gone"}.text());
  Connection first(setup.node.server.accept());
  ASSERT_EQ(read_request_id(first), "gone");
  setup.node.server.fill_queue();
  first.write(http_response(503, "", "X-Not-Processed: 1\r\nConnection: close\r\n"));
  ASSERT_TRUE(setup.node.server.eventually_has_pending_connects(1));
  setup.disconnect();
  EXPECT_TRUE(setup.node.eventually_has_nothing_in_flight());
  setup.server = Connection(setup.node.server.accept());
}

// The server has received the bytes sent so far of a streamed body and waits for the rest.
void before_the_rest_of_its_body(DisconnectSetup& setup) {
  const std::string text = RequestBuilder{.id = "gone", .body = std::string(2 * kMebibyte, 'b')}.text();
  const std::size_t first_size = kMebibyte + 64 * kKibibyte;
  setup.client.write(text.substr(0, first_size));
  setup.server = Connection(setup.node.server.accept());
  EXPECT_LT(setup.read_all_with_disconnect_after(first_size - 16 * kKibibyte).size(),
            text.size() - kKibibyte);
}

void before_the_rest_of_its_chunks(DisconnectSetup& setup) {
  const std::string piece = http_chunk(std::string(64 * kKibibyte, 'b'));
  std::string text =
      RequestBuilder{.id = "gone", .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text();
  for (std::size_t i = 0; i < 20; ++i) text += piece;
  setup.client.write(text);
  setup.server = Connection(setup.node.server.accept());
  EXPECT_FALSE(
      setup.read_all_with_disconnect_after(std::size_t{19} * 64 * kKibibyte).ends_with("\r\n0\r\n\r\n"));
}

// The last bytes of a streamed body must not be forwarded if the client disconnects directly after them.
void in_the_same_iteration_as_the_end_of_its_streamed_body(DisconnectSetup& setup) {
  const std::string text =
      RequestBuilder{.id = "gone", .body = std::string(kMebibyte + 64 * kKibibyte, 'b')}.text();
  const std::size_t last_size = 2 * kKibibyte;
  setup.client.write(text.substr(0, text.size() - last_size));
  setup.server = Connection(setup.node.server.accept());
  std::size_t received = 0;
  while (received < text.size() - last_size - kKibibyte) received += setup.server.read_some().size();
  setup.node.program->suspend();
  setup.client.write(text.substr(text.size() - last_size));
  setup.disconnect();
  setup.node.program->resume();
  while (setup.server.receive_more()) received += setup.server.read_some().size();
  EXPECT_LT(received, text.size() - last_size + kKibibyte) << "the node forwarded the last bytes of the body";
  setup.server.close();
}

// The next request of a client that disconnects while the previous response is being written must not start.
// The client has a small receive buffer, so that the node can't write the response at once.
void while_the_previous_response_is_written(DisconnectSetup& setup) {
  FileDescriptor socket = new_tcp_socket();
  const int receive_buffer = 4096;
  const int segment = 536;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ASSERT_TRUE(connect_to_loopback(socket, setup.node.program->port()));
  setup.client = Connection(std::move(socket));
  setup.client.write(get_request("before").text() + get_request("gone").text());
  setup.server = Connection(setup.node.server.accept());
  ASSERT_EQ(read_request_id(setup.server), "before");
  const std::string body(60 * kKibibyte, 'b');
  setup.server.write(http_response(200, body));
  pollfd response_begun{setup.client.fd(), POLLIN, 0};
  ASSERT_EQ(::poll(&response_begun, 1, kWaitLimitMilliseconds), 1);
  if (setup.by_reset) return setup.disconnect();
  ::shutdown(setup.client.fd(), SHUT_WR);
  EXPECT_EQ(body_of(setup.client.read_message()), body);
  EXPECT_EQ(setup.client.read_to_end(), "") << "the node started another request";
}

void in_the_pause_after_an_error(DisconnectSetup& setup) {
  setup.serve_one_request();
  setup.suspend_after_quarantine();
  setup.client.write(RequestBuilder{.request_class = "unknown", .body = ""}.text() +
                     get_request("gone").text());
  setup.disconnect();
  setup.node.program->resume();
}

class DisconnectState : public testing::TestWithParam<std::tuple<DisconnectCase, bool>> {};

INSTANTIATE_TEST_SUITE_P(
    States, DisconnectState,
    testing::Combine(
        testing::Values(
            DisconnectCase{"InTheAcceptQueue", in_the_accept_queue},
            DisconnectCase{"InTheSameIterationAsItsRequest", in_the_same_iteration_as_its_request},
            DisconnectCase{"InTheSameIterationAsTheEndOfItsBody",
                           in_the_same_iteration_as_the_end_of_its_body},
            DisconnectCase{"JustAfterTheConnectCompletes", just_after_the_connect_completes},
            DisconnectCase{"DuringQuarantineOfTheConnection", during_quarantine_of_the_connection},
            DisconnectCase{"WhileTheConnectOfARetryIsPending", while_the_connect_of_a_retry_is_pending},
            DisconnectCase{"BeforeTheRestOfItsBody", before_the_rest_of_its_body},
            DisconnectCase{"BeforeTheRestOfItsChunks", before_the_rest_of_its_chunks},
            DisconnectCase{"InTheSameIterationAsTheEndOfItsStreamedBody",
                           in_the_same_iteration_as_the_end_of_its_streamed_body},
            DisconnectCase{"WhileThePreviousResponseIsWritten", while_the_previous_response_is_written},
            DisconnectCase{"InThePauseAfterAnError", in_the_pause_after_an_error}),
        testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "ByReset" : "ByFin");
    });

TEST_P(DisconnectState, NothingMoreIsForwarded) {
  DisconnectSetup setup(std::get<1>(GetParam()));
  std::get<0>(GetParam()).disconnect_in_state(setup);
  if (HasFatalFailure()) return;
  Connection connected = setup.node.client();
  connected.write(get_request("connected").text());
  if (!setup.server.is_open()) setup.server = Connection(setup.node.server.accept());
  EXPECT_EQ(read_request_id(setup.server), "connected");
  setup.server.write(http_response(200, "ok"));
  EXPECT_EQ(body_of(connected.read_message()), "ok");
  EXPECT_TRUE(setup.node.eventually_has_nothing_in_flight());
  while (setup.node.server.has_waiting_connection()) {  // connections whose connect was pending
    const Connection spare(setup.node.server.accept());
    char byte = 0;
    EXPECT_LE(::recv(spare.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), 0)
        << "the node forwarded bytes on a connection that was pending";
  }
}

// Disconnects a thousand clients in one iteration of the node's event loop, in which responses arrive too.
// Some have a request in flight, and have pipelined more behind it than the node reads ahead.
class MassDisconnect : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(By, MassDisconnect, testing::Bool(),
                         [](const auto& info) { return std::string(info.param ? "Reset" : "Fin"); });

TEST_P(MassDisconnect, NothingMoreIsForwarded) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t idle = limit.rlim_max >= 1200 ? 1000 : 300;
  constexpr std::size_t kBusyClients = 6;
  Gate gate;
  // Three servers for six requests: the node allows two requests in flight at a server that has not responded
  // yet. It allows more at first, but this higher limit decays within seconds, and the idle clients may take
  // longer than that to connect.
  std::array<FakeServer, kBusyClients / 2> servers{
      FakeServer(reply_after(gate)), FakeServer(reply_after(gate)), FakeServer(reply_after(gate))};
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
  for (std::size_t i = 0; i < kBusyClients; ++i) {
    clients.push_back(deployment.client());
    const std::string id = "first" + std::to_string(i);
    expected.insert(id);
    std::string text = get_request(id).text();
    while (text.size() < 40 * kKibibyte) text += get_request("behind").text();
    clients.back().write(text);
  }
  eventually([&] { return forwarded().size() >= kBusyClients; });
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
