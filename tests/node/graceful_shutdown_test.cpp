/// @file
/// A node that drains after SIGTERM: whom it goes on serving, for how long, and that it ends with success.
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
  Connection late = deployment.client();  // it goes on accepting for a while
  late.write(RequestBuilder{.id = "late"}.text());
  ASSERT_TRUE(deployment.server.eventually_received(2));
  ASSERT_TRUE(eventually([&] { return !deployment.client().is_open(); }));
  EXPECT_TRUE(deployment.program->is_running()) << "two answers are owed";
  gate.open();
  for (Connection* client : {&in_flight, &late}) {
    const std::string answer = client->read_message();
    EXPECT_EQ(status_of(answer), 200);
  }
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// A restart must not leave clients without a node for longer than need be: they go on using the connections
// that they have; but nothing is admitted that could not be answered in time.
TEST(GracefulShutdown, OpenConnectionsAreServedWhileDraining) {
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
  const std::string answer = exchange(other, {.id = "unanswered", .timeout_ms = "15000"});
  EXPECT_EQ(status_of(answer), 502) << answer;
  EXPECT_EQ(deployment.program->exit_status(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client would have waited 15 s";
}

// Clients that find no free connection once, while no new ones are accepted, would turn from a node that
// could serve them for seconds.
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

// The gap between two processes must not be longer than need be: a response takes 0.1 s or so.
TEST(GracefulShutdown, IdleConnectionsStayUntilNearTheEnd) {
  OneServerDeployment deployment;
  Connection client = deployment.client();
  ASSERT_EQ(status_of(exchange(client, {})), 200);
  const auto start = std::chrono::steady_clock::now();
  deployment.program->signal(SIGTERM);
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_GT(std::chrono::steady_clock::now() - start, 2700ms) << "it may be killed after 3.7 s";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

TEST(GracefulShutdown, FirstRequestThatCrossesSigtermIsServed) {
  OneServerDeployment deployment;
  Connection fresh = deployment.client();
  deployment.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !deployment.client().is_open(); }));
  EXPECT_EQ(status_of(exchange(fresh, {})), 200);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// A drain that lasted by the timeouts of classes that are gone, while the kill comes by those that are in
// force, would lose what clients send in between.
TEST(GracefulShutdown, LastsByTheClassesInForceAfterAReload) {
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
      << "2.8 s by the classes before, and the kill at 1.2";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

TEST(GracefulShutdown, RequestOfADroppedClassKeepsItsTimeout) {
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

// Requests in flight at the start of a drain must not be so still when the process is killed.
TEST(GracefulShutdown, RequestInFlightFailsBeforeTheKill) {
  OneServerDeployment deployment(never_reply());
  Connection client = deployment.client();
  Connection silent = deployment.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  deployment.program->signal(SIGTERM);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client would have waited 15 s";
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// Closing a listener resets all connections in its queue that there was no capacity for.
TEST(GracefulShutdown, ConnectionsInTheAcceptQueueAreAnswered) {
  Gate gate;
  FakeServer server(reply_after(gate));
  NodeConfig config;
  config.sockets = 64;  // 20 client connections, and 5 to be rejected
  Deployment deployment({&server}, config);
  std::vector<Connection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(get_request("r" + std::to_string(i)).text());
  }
  ASSERT_TRUE(eventually([&] { return !server.requests().empty(); }));
  deployment.program->signal(SIGTERM);
  std::this_thread::sleep_for(1s);  // past the time in which new connections are accepted
  gate.open();
  for (std::size_t i = 0; i < clients.size(); ++i) EXPECT_NE(status_of(clients[i].read_message()), 0) << i;
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

// A connection that came up just before the listener closed, and whose first request is on its way.
TEST(GracefulShutdown, NewConnectionIsKeptForItsFirstRequest) {
  // The listener and the idle connections are closed in one turn of the event loop.
  OneServerDeployment deployment(always_reply(200, "ok"), {.classes = classes_with_short_timeout()});
  deployment.program->signal(SIGTERM);
  std::vector<Connection> clients;
  for (Connection next = deployment.client(); next.is_open(); next = deployment.client()) {
    clients.push_back(std::move(next));
    if (clients.size() > 20) clients.erase(clients.begin());  // each is newer than the one before
    std::this_thread::sleep_for(5ms);
  }
  ASSERT_FALSE(clients.empty());
  clients.back().write(RequestBuilder{.timeout_ms = "400"}.text());
  EXPECT_NE(status_of(clients.back().read_message()), 0);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

}  // namespace
}  // namespace nettleyoke::node
