/// @file
/// How a node watches the endpoint list: from which version it resumes, when a watch times out, and how it
/// handles malformed lists.
#include <gtest/gtest.h>

#include "discovery/rewatch_backoff.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(DiscoveryWatch, ResumesFromTheLastVersionAfterSplitAndJoinedEvents) {
  FakeServer old_server(always_reply(200, "old"));
  FakeServer new_server(always_reply(200, "new"));
  Deployment deployment({&old_server});
  ASSERT_TRUE(eventually([&] { return !deployment.discovery.calls().empty(); }));
  EXPECT_NE(deployment.discovery.calls()[0].find("watch=1&after=7 "), std::string::npos);
  const std::string events = endpoint_list(8, false, endpoint("s0", old_server.address(), "draining")) +
                             "\n\n" + endpoint_list(9, false, endpoint("s1", new_server.address())) + "\n";
  const std::size_t cut = events.size() / 3;
  deployment.discovery.send_raw(http_chunk(events.substr(0, cut)));
  deployment.discovery.send_raw(http_chunk(events.substr(cut)));
  EXPECT_TRUE(deployment.eventually_answers("new"));
  deployment.discovery.end_watch();
  ASSERT_TRUE(eventually([&] { return deployment.discovery.calls().size() >= 2; }));
  EXPECT_NE(deployment.discovery.calls()[1].find("watch=1&after=9 "), std::string::npos);
}

TEST(DiscoveryWatch, EndedWatchIsOpenedAgainInAutomaticMode) {
  FakeServer server(always_reply(200, "ok"));
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.registry_mode = "automatic";
  NodeProcess program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() == 1; }));
  discovery.respond_with(watch_response(endpoint_list(3, true, endpoint("s0", server.address()))));
  // The fake may not have recorded the watch as the open one yet, so end_watch() is repeated.
  EXPECT_TRUE(eventually([&] {
    discovery.end_watch();
    return discovery.calls().size() >= 2;
  }));
  EXPECT_TRUE(eventually([&] { return program.health_status() == 200; }));
}

// A removed or draining server gets no requests, and gets them again once it is listed as up.
TEST(DiscoveryWatch, RemovedOrDrainingServerIsUsedAgainOnceListedAsUp) {
  OneServerDeployment deployment;
  int count = 0;
  const auto status = [&] {
    Connection client = deployment.client();
    return status_of(exchange(client, {.id = "b" + std::to_string(++count)}));
  };
  EXPECT_EQ(status(), 200);
  for (const char* state : {"removed", "draining"}) {
    deployment.discovery.send_list(
        endpoint_list(8, false, endpoint("s0", deployment.server.address(), state)));
    EXPECT_TRUE(eventually([&] { return status() == 503; }));
    EXPECT_TRUE(eventually([&] { return deployment.server.listener().open_connections() == 0; }))
        << "idle connections are closed";
    deployment.discovery.send_list(endpoint_list(9, false, endpoint("s0", deployment.server.address())));
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
  }
}

// The backoff must be shorter than the grace period of a draining server, because the agent counts a change
// as notified even while no watch is open.
TEST(DiscoveryWatch, BackoffStartsShortAndStaysBelowTheGracePeriod) {
  EXPECT_LE(rewatch_backoff(0, 1), 0.2);
  EXPECT_NEAR(rewatch_backoff(1, 0.5), 2 * rewatch_backoff(0, 0.5), 1e-9) << "the second backoff is longer";
  for (const int failures : {0, 1, 2, 4, 10, 1000}) {
    EXPECT_NEAR(rewatch_backoff(failures, 1), 3 * rewatch_backoff(failures, 0), 1e-9)
        << "the jitter spreads it by a factor of three";
    EXPECT_GE(rewatch_backoff(failures, 0), 0.05) << "nodes must not flood the agent with watches";
    EXPECT_LE(rewatch_backoff(failures, 1), 0.301);
  }
}

// The next watch requests a truncated event and all later events again.
TEST(DiscoveryWatch, StalledEventIsRequestedAgainFromTheLastVersion) {
  FakeServer one(always_reply(200, "one"));
  FakeServer two(always_reply(200, "two"));
  Deployment deployment({&one});
  ASSERT_TRUE(deployment.discovery.send_list(endpoint_list(8, true, endpoint("s0", one.address()))));
  const std::string next = endpoint_list(9, true, endpoint("s1", two.address())) + "\n";
  deployment.discovery.respond_with(kChunkedResponseHead + http_chunk(next));
  ASSERT_TRUE(deployment.discovery.send_raw(http_chunk(next.substr(0, next.size() / 2))));
  EXPECT_TRUE(deployment.eventually_answers("two"));
  ASSERT_GE(deployment.discovery.calls().size(), 2U);
  EXPECT_NE(deployment.discovery.calls()[1].find("after=8 "), std::string::npos)
      << deployment.discovery.calls()[1];
}

TEST(DiscoveryWatch, SilentWatchTimesOut) {
  OneServerDeployment deployment;
  EXPECT_TRUE(eventually([&] { return deployment.discovery.calls().size() >= 2; }));
}

TEST(DiscoveryWatch, MalformedListIsLoggedOnceAndThePreviousOneStays) {
  OneServerDeployment deployment;
  deployment.discovery.respond_with(kChunkedResponseHead + http_chunk("{\"index\":\n"));
  deployment.discovery.end_watch();
  ASSERT_TRUE(eventually([&] { return deployment.discovery.calls().size() >= 3; }));
  const std::string log = deployment.program->log();
  const std::size_t first = log.find("discovery: ");
  EXPECT_NE(first, std::string::npos);
  EXPECT_EQ(log.find("discovery: ", first + 1), std::string::npos) << log;
  Connection client = deployment.client();
  EXPECT_EQ(status_of(exchange(client, {})), 200);
}

TEST(DiscoveryWatch, UnavailableDiscoveryIsCalledAgain) {
  FakeServer server(always_reply(200, "ok"));
  FakeDiscovery discovery;
  discovery.respond_with(http_response(503, ""));
  NodeConfig config;
  config.discovery = discovery.address();
  NodeProcess program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= 2; }));
  Connection client = Connection::to(program.port());
  EXPECT_EQ(health_status(client), 503) << "no server is listed yet";
  discovery.respond_with(watch_response(endpoint_list(3, true, endpoint("s0", server.address()))));
  EXPECT_TRUE(eventually([&] { return health_status(client) == 200; }));
}

// A watch that receives only empty lines before it ends must not count as a failure, because each failure
// lengthens the next backoff. Discovery ends each watch at once here, so that only the backoffs take time.
TEST(DiscoveryWatch, WatchesThatEndAfterEmptyLinesDoNotGrowTheBackoff) {
  for (const char* mode : {"subscribe", "automatic"}) {
    FakeServer server(always_reply(200, "ok"));
    Listener discovery([](Connection& connection) {
      if (connection.read_message().empty()) return;
      connection.write(kChunkedResponseHead + http_chunk("\n") + "0\r\n\r\n");
    });
    NodeConfig config = config_with_server(server.address(), discovery.address());
    config.registry_mode = mode;
    const auto start = std::chrono::steady_clock::now();
    NodeProcess program(config.text());
    ASSERT_TRUE(eventually([&] { return discovery.accepted() >= 12; })) << mode;
    // Backoffs that are not reset to the first one would take more than 30 s in total.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 12s) << mode;
  }
}

// A call that the agent does not respond to must time out sooner than an open watch without events: two such
// calls in a row would otherwise exceed the notification deadline.
TEST(DiscoveryWatch, CallWithoutResponseTimesOutSoonerThanAnOpenWatch) {
  FakeServer server(always_reply(200, "ok"));
  FakeServer notified(always_reply(200, "notified"));
  std::atomic<int> calls = 0;
  Listener discovery([&](Connection& connection) {
    if (connection.read_message().empty()) return;
    if (++calls > 3)
      connection.write(watch_response(endpoint_list(9, true, endpoint("s1", notified.address()))));
    connection.read_to_end();
  });
  NodeConfig config = config_with_server(server.address(), discovery.address());
  config.registry_mode = "automatic";
  const auto start = std::chrono::steady_clock::now();
  NodeProcess program(config.text());
  EXPECT_TRUE(eventually_answers(program.port(), "notified", get_request("")));
  EXPECT_LT(std::chrono::steady_clock::now() - start, 8s)
      << "must be shorter than three timeouts of an open watch, which take 9 s";
}

}  // namespace
}  // namespace nettleyoke::node
