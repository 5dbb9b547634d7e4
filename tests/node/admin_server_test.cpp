/// @file
/// The admin server: its commands, the metrics, and disabled servers.
#include <gtest/gtest.h>

#include <atomic>
#include <vector>

#include "admin_harness.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(AdminServer, IsReadyOnceDiscoveryHasListedAServer) {
  FakeServer server(always_reply(200, "ok"));
  NodeConfig config = with_admin_server();
  FakeDiscovery discovery;
  config.discovery = discovery.address();
  const NodeProcess program(config.text());
  EXPECT_EQ(program.admin_command("READY").substr(0, 3), "NO ");
  ASSERT_TRUE(discovery.send_list(endpoint_list(1, true, endpoint("s0", server.address()))));
  EXPECT_TRUE(eventually([&] { return program.admin_command("READY") == "YES\n"; }));
}

// A new process must not wait indefinitely for a silent discovery agent if its configuration has an initial
// endpoint list.
TEST(AdminServer, IsReadyWithAnInitialEndpointListWhileDiscoveryIsSilent) {
  const OneServerDeployment deployment(always_reply(200, "ok"), with_admin_server());
  EXPECT_TRUE(eventually([&] { return deployment.program->admin_command("READY") == "YES\n"; }));
}

TEST(AdminServer, InvalidCommandIsRejected) {
  const OneServerDeployment deployment(always_reply(200, "ok"), with_admin_server());
  for (const std::string& line :
       {std::string("HELLO"), std::string(""), std::string("DISABLE"), std::string("DISABLE "),
        std::string("ENABLE a b"), std::string("READY now"), std::string("DISABLE nobody"),
        std::string("ENABLE nobody"), std::string("ready"), std::string("\x00\xff\x01", 3),
        std::string(5000, 'x')}) {
    EXPECT_EQ(deployment.program->admin_command(line).substr(0, 3), "NO ") << line.substr(0, 20);
  }
  EXPECT_EQ(deployment.program->admin_command("DISABLE s0\r"), "YES\n") << "a line may end in CR LF";
  EXPECT_EQ(deployment.response_to({.id = "after"}).substr(9, 3), "503");
}

TEST(AdminServer, TruncatedCommandIsRejectedAndSilentConnectionIsClosed) {
  const OneServerDeployment deployment(always_reply(200, "ok"), with_admin_server());
  const int port = deployment.program->admin_port();
  Connection truncated = Connection::to(port);
  Connection silent = Connection::to(port);
  Connection half_closed = Connection::to(port);
  truncated.write("STA");
  half_closed.write("DISABLE s0");
  ::shutdown(half_closed.fd(), SHUT_WR);
  EXPECT_EQ(half_closed.read_to_end().substr(0, 3), "NO ")
      << "a command without a line end must not be executed";
  EXPECT_EQ(truncated.read_to_end().substr(0, 3), "NO ");
  EXPECT_EQ(silent.read_to_end(), "");
  EXPECT_EQ(deployment.response_to({.id = "after"}).substr(9, 3), "200");
}

// The admin server must stay reachable when all descriptors are in use, both by clients and by silent
// connections to the admin server itself.
TEST(AdminServer, CommandsAreExecutedWhileAllDescriptorsAreInUse) {
  FakeServer server(always_reply(200, "ok"));
  NodeConfig config = with_admin_server();
  config.sockets = 128;
  const Deployment deployment({&server}, config, {.descriptor_limit = 128});
  std::vector<Connection> connections;
  connections.reserve(300);
  for (int i = 0; i < 200; ++i) connections.push_back(deployment.client());
  for (int i = 0; i < 100; ++i) connections.push_back(Connection::to(deployment.program->admin_port()));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(metric(*deployment.program, "hosts_listed"), 1);
    EXPECT_EQ(deployment.program->admin_command("ENABLE s0"), "YES\n");
  }
}

TEST(AdminServer, AddressInTheEnvironmentTakesPrecedence) {
  FakeServer server(always_reply(200, "ok"));
  NodeConfig config = config_with_server(server.address());
  config.admin = "127.0.0.1:1";  // listening on this port needs privileges, so the process would not start
  const NodeProcess program(config.text(), {.environment = {{"RELAY_OPS", "127.0.0.1:0"}}});
  EXPECT_EQ(program.admin_command("ENABLE s0"), "YES\n");
}

TEST(AdminServer, InvalidAddressFailsTheStart) {
  NodeConfig config;
  config.admin = "nowhere";
  NodeProcess program(config.text(), {.wait_for_start = false});
  EXPECT_EQ(program.exit_status(), 2);
  EXPECT_EQ(program.count_in_log("'ops'"), 1) << program.log();
}

TEST(Metrics, EachFinalAnswerIsCountedOnce) {
  std::atomic<int> status = 200;
  FakeServer server([&](Connection& connection, const std::string&) {
    return connection.write(http_response(status, "x", status == 503 ? "X-Not-Processed: 1\r\n" : ""));
  });
  Deployment deployment({&server}, with_admin_server());
  Connection client = deployment.client();
  const auto status_of_request = [&](const std::string& id, const std::string& request_class,
                                     const std::string& method) {
    return status_of(exchange(client, RequestBuilder{.request_class = request_class,
                                                     .id = id,
                                                     .method = method,
                                                     .body = method == "GET" ? "" : "{}"}));
  };
  EXPECT_EQ(status_of_request("a1", "close", "POST"), 200);
  EXPECT_EQ(status_of_request("a2", "close", "POST"), 200);
  EXPECT_EQ(status_of_request("a3", "look", "GET"), 200);
  EXPECT_EQ(metric(*deployment.program, "backend_calls"), 3);
  status = 500;
  EXPECT_EQ(status_of_request("b1", "close", "POST"),
            502);  // non-idempotent and possibly processed: failed after one attempt
  EXPECT_EQ(metric(*deployment.program, "backend_calls"), 4);
  status = 503;
  EXPECT_EQ(status_of_request("c1", "close", "POST"), 503);
  const int attempts = static_cast<int>(server.requests().size());
  client.write(
      RequestBuilder{.request_class = "unknown"}.text());  // no such class in the settings: it is not counted
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "inflight") == 0; }));
  const rapidjson::Document all = metrics_of(*deployment.program);
  EXPECT_EQ(all["success"]["close"].GetInt(), 2);
  EXPECT_EQ(all["success"]["look"].GetInt(), 1);
  EXPECT_EQ(all["success"]["mark"].GetInt(), 0) << "every class is listed, even without requests";
  EXPECT_EQ(all["failure"]["close"].GetInt(), 1);
  EXPECT_EQ(all["busy"]["close"].GetInt(), 1);
  EXPECT_EQ(all["busy"]["look"].GetInt(), 0);
  EXPECT_EQ(all["backend_calls"].GetInt(), attempts);
  EXPECT_EQ(all["hosts_listed"].GetInt(), 1);
  EXPECT_EQ(all["reconfig_ok"].GetInt(), 0);
  EXPECT_EQ(all["reconfig_failed"].GetInt(), 0);
}

TEST(Metrics, InFlightCountsUnansweredRequestsOfConnectedClients) {
  Gate gate;
  FakeServer server(reply_after(gate, 200, "x"));
  Deployment deployment({&server}, with_admin_server());
  std::vector<Connection> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(RequestBuilder{.id = "r" + std::to_string(i)}.text());
  }
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "inflight") == 3; }));
  clients[0].close();
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "inflight") == 2; }));
  gate.open();
  for (int i = 1; i < 3; ++i) EXPECT_EQ(status_of(clients[static_cast<std::size_t>(i)].read_message()), 200);
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "inflight") == 0; }));
  EXPECT_EQ(count_by_class(*deployment.program, "success", "close"), 2);
}

TEST(Metrics, ReloadsAreCountedByResult) {
  OneServerDeployment deployment(always_reply(200, "ok"), with_admin_server());
  deployment.program->reload("{}");
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "reconfig_failed") == 1; }));
  deployment.program->reload(deployment.config.text());
  EXPECT_TRUE(eventually([&] { return metric(*deployment.program, "reconfig_ok") == 1; }));
}

TEST(DisabledServer, GetsNoRequestUntilItIsEnabled) {
  FakeServer one(always_reply(200, "one"));
  FakeServer two(always_reply(200, "two"));
  Deployment deployment({&one, &two}, with_admin_server());
  EXPECT_EQ(deployment.program->admin_command("DISABLE s0"), "YES\n");
  EXPECT_EQ(deployment.program->admin_command("DISABLE s0"), "YES\n");
  const auto requests_before = one.requests().size();
  deployment.discovery.send_list(
      endpoint_list(8, true, endpoint("s0", one.address()) + "," + endpoint("s1", two.address())));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(body_of(deployment.response_to({.id = "out" + std::to_string(i)})), "two");
  EXPECT_EQ(one.requests().size(), requests_before);
  EXPECT_EQ(metric(*deployment.program, "hosts_listed"), 2);
  EXPECT_EQ(metric(*deployment.program, "hosts_down"), 1);
  EXPECT_EQ(deployment.program->admin_command("DISABLE s1"), "YES\n");
  const std::string rejected = deployment.response_to({.id = "none"});
  EXPECT_EQ(status_of(rejected), 503);
  EXPECT_NE(field_of(rejected, "Retry-After"), "");
  EXPECT_EQ(deployment.program->admin_command("ENABLE s0"), "YES\n");
  EXPECT_EQ(metric(*deployment.program, "hosts_down"), 1);
  EXPECT_EQ(body_of(deployment.response_to({.id = "back"})), "one");
}

// A server may be restarted while it is disabled, so its old connections must not be reused.
TEST(DisabledServer, IdleConnectionsAreClosed) {
  OneServerDeployment deployment(always_reply(200, "ok"), with_admin_server());
  EXPECT_EQ(body_of(deployment.response_to({.id = "r1"})), "ok");
  EXPECT_EQ(deployment.program->admin_command("DISABLE s0"), "YES\n");
  EXPECT_TRUE(eventually([&] { return deployment.server.closed_by_node() == 1; }));
}

}  // namespace
}  // namespace nettleyoke::node
