/// @file
/// Graceful shutdown after SIGTERM: which clients the node still serves, for how long, and that it exits with
/// status 0.
#include <gtest/gtest.h>

#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(GracefulShutdown, RequestsInFlightAreAnsweredBeforeTheExit) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate));
  Connection in_flight = deployment.client();
  in_flight.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  deployment.program->signal(SIGTERM);
  Connection late = deployment.client();  // the node still accepts connections for a while
  late.write(RequestBuilder{.id = "late"}.text());
  ASSERT_TRUE(deployment.server.eventually_received(2));
  ASSERT_TRUE(eventually([&] { return !deployment.client().is_open(); }));
  EXPECT_TRUE(deployment.program->is_running()) << "two requests have no final answer yet";
  gate.open();
  for (Connection* client : {&in_flight, &late}) {
    const std::string response = client->read_message();
    EXPECT_EQ(status_of(response), 200);
  }
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// To keep the gap of a restart short, clients are served on their open connections during the shutdown. Each
// request that is admitted must get its final answer before the process is killed.
TEST(GracefulShutdown, OpenConnectionsAreServedDuringTheShutdown) {
  std::atomic<bool> silent = false;
  FakeServer server([&](Connection& connection, const std::string&) {
    return silent || connection.write(http_response(200, "ok"));
  });
  Deployment deployment({&server});
  Connection client = deployment.client();
  Connection other = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {.id = "before"})), 200);
  const auto start = std::chrono::steady_clock::now();
  deployment.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !deployment.client().is_open(); }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(status_of(exchange(client, {.id = "during" + std::to_string(i)})), 200);
  }
  silent = true;
  const std::string response = exchange(other, {.id = "unanswered", .timeout_ms = "15000"});
  EXPECT_EQ(status_of(response), 502) << response;
  EXPECT_EQ(deployment.program->exit_status(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "must end before the client timeout of 15 s";
}

// Once the node accepts no more connections, a client that finds no free connection even once stops using the
// node, although the node could serve it for seconds.
TEST(GracefulShutdown, AQuarterOfTheConnectionsIsKeptFree) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate));
  std::vector<Connection> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(deployment.client());
    ASSERT_EQ(health_status(clients.back()), 200);
  }
  Connection& last = clients.back();
  deployment.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return health_status(last) == 503; }));
  for (std::size_t i = 0; i < 6; ++i) clients[i].write(RequestBuilder{.id = "r" + std::to_string(i)}.text());
  ASSERT_TRUE(deployment.server.eventually_received(6));
  EXPECT_EQ(status_of(exchange(last, {.id = "seventh"})), 503) << "two of eight are kept free";
  gate.open();
  for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(status_of(clients[i].read_message()), 200);
  EXPECT_EQ(status_of(exchange(last, {.id = "again"})), 200);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// Idle connections are closed late to keep the gap between two processes short: a response takes about 0.1 s.
TEST(GracefulShutdown, IdleConnectionsStayUntilNearTheEnd) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {})), 200);
  const auto start = std::chrono::steady_clock::now();
  deployment.program->signal(SIGTERM);
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_GT(std::chrono::steady_clock::now() - start, 2700ms)
      << "idle connections must stay open for most of the 3.7 s before the process may be killed";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

TEST(GracefulShutdown, FirstRequestOfAConnectionIsServedAfterSigterm) {
  OneServerDeployment deployment;
  Connection fresh = deployment.client();
  deployment.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !deployment.client().is_open(); }));
  EXPECT_EQ(status_of(exchange(fresh, {})), 200);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// The time until the kill follows from the timeouts of the classes in force. A shutdown that lasted as long
// as the replaced classes allow would still serve clients at the kill and lose their requests.
TEST(GracefulShutdown, DurationFollowsTheClassesInForceAfterAReload) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {})), 200);
  NodeConfig config = deployment.config;
  config.classes = classes_with_short_timeout();
  deployment.reload(config);
  const auto start = std::chrono::steady_clock::now();
  deployment.program->signal(SIGTERM);
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_LT(std::chrono::steady_clock::now() - start, 2s)
      << "the replaced classes would allow 2.8 s, but the kill comes after 1.2 s";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

TEST(GracefulShutdown, RequestOfARemovedClassKeepsItsTimeout) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate));
  Connection client = deployment.client();
  Connection idle = deployment.client();
  ASSERT_EQ(health_status(idle), 200);
  client.write(get_request("open").text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  NodeConfig config = deployment.config;
  config.classes = classes_with_short_timeout();
  deployment.reload(config);
  deployment.program->signal(SIGTERM);
  EXPECT_EQ(idle.read_to_end(), "") << "idle connections are closed first";
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// Requests in flight at SIGTERM must get their final answer before the process is killed.
TEST(GracefulShutdown, RequestInFlightFailsBeforeTheKill) {
  OneServerDeployment deployment(never_reply());
  Connection client = deployment.client();
  Connection silent = deployment.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  deployment.program->signal(SIGTERM);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "must end before the client timeout of 15 s";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// Closing a listener resets the connections that are still in its accept queue for lack of capacity.
TEST(GracefulShutdown, ConnectionsInTheAcceptQueueAreAnswered) {
  Gate gate;
  FakeServer server(reply_after(gate));
  NodeConfig config;
  config.sockets = 64;  // 20 client connections, and 5 that are rejected
  Deployment deployment({&server}, config);
  std::vector<Connection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(get_request("r" + std::to_string(i)).text());
  }
  ASSERT_TRUE(eventually([&] { return !server.requests().empty(); }));
  deployment.program->signal(SIGTERM);
  std::this_thread::sleep_for(1s);  // until the node accepts no more connections
  gate.open();
  for (std::size_t i = 0; i < clients.size(); ++i) EXPECT_NE(status_of(clients[i].read_message()), 0) << i;
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// The first request may already be on its way on a connection that was established just before the listener
// closed.
TEST(GracefulShutdown, NewConnectionIsKeptForItsFirstRequest) {
  // The listener and the idle connections are closed in one iteration of the event loop.
  OneServerDeployment deployment(always_reply(200, "ok"), {.classes = classes_with_short_timeout()});
  deployment.program->signal(SIGTERM);
  std::vector<Connection> clients;
  for (Connection next = deployment.client(); next.is_open(); next = deployment.client()) {
    clients.push_back(std::move(next));
    if (clients.size() > 20) clients.erase(clients.begin());  // keeps the newest
    std::this_thread::sleep_for(5ms);
  }
  ASSERT_FALSE(clients.empty());
  clients.back().write(RequestBuilder{.timeout_ms = "400"}.text());
  EXPECT_NE(status_of(clients.back().read_message()), 0);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

}  // namespace
}  // namespace nettleyoke::node
