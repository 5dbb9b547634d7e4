/// @file
/// How a node follows discovery: which list it asks for, when it gives up a watch, and how it takes broken
/// ones.
#include <gtest/gtest.h>

#include "discovery/rewatch_backoff.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(DiscoveryWatch, ResumesAtTheKnownVersionAfterSplitAndJoinedEvents) {
  FakeServer old_server(always_reply(200, "old"));
  FakeServer new_server(always_reply(200, "new"));
  Deployment deployment({&old_server});
  ASSERT_TRUE(eventually([&] { return !deployment.discovery.calls().empty(); }));
  EXPECT_NE(deployment.discovery.calls()[0].find("watch=1&after=7 "), std::string::npos);
  const std::string lines = endpoint_list(8, false, endpoint("s0", old_server.address(), "draining")) +
                            "\n\n" + endpoint_list(9, false, endpoint("s1", new_server.address())) + "\n";
  const std::size_t cut = lines.size() / 3;
  deployment.discovery.send_raw(http_chunk(lines.substr(0, cut)));
  deployment.discovery.send_raw(http_chunk(lines.substr(cut)));
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
  // The fake may not have recorded the call as the current one yet.
  EXPECT_TRUE(eventually([&] {
    discovery.end_watch();
    return discovery.calls().size() >= 2;
  }));
  EXPECT_TRUE(eventually([&] { return program.health_status() == 200; }));
}

// A server that leaves and comes back is served anew; one that is draining gets nothing.
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
        << "idle connections are dropped";
    deployment.discovery.send_list(endpoint_list(9, false, endpoint("s0", deployment.server.address())));
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
  }
}

// The backoff must not outlast the grace period of a shutdown: what the agent has counts as notified all the
// while.
TEST(DiscoveryWatch, BackoffStartsShortAndStaysBelowTheGracePeriod) {
  EXPECT_LE(rewatch_backoff(0, 1), 0.2);
  EXPECT_NEAR(rewatch_backoff(1, 0.5), 2 * rewatch_backoff(0, 0.5), 1e-9) << "later than the first";
  for (const int failures : {0, 1, 2, 4, 10, 1000}) {
    EXPECT_NEAR(rewatch_backoff(failures, 1), 3 * rewatch_backoff(failures, 0), 1e-9) << "a jitter";
    EXPECT_GE(rewatch_backoff(failures, 0), 0.05) << "no flood";
    EXPECT_LE(rewatch_backoff(failures, 1), 0.301);
  }
}

// What an event that stops half-way says, and what came after it, is asked for again.
TEST(DiscoveryWatch, StalledEventIsAskedForAgainFromTheKnownVersion) {
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

TEST(DiscoveryWatch, SilentWatchIsGivenUp) {
  OneServerDeployment deployment;
  EXPECT_TRUE(eventually([&] { return deployment.discovery.calls().size() >= 2; }));
}

TEST(DiscoveryWatch, MalformedListIsLoggedOnceAndTheKnownOneStays) {
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

TEST(DiscoveryWatch, UnavailableDiscoveryIsPolledAgain) {
  FakeServer server(always_reply(200, "ok"));
  FakeDiscovery discovery;
  discovery.respond_with(http_response(503, ""));
  NodeConfig config;
  config.discovery = discovery.address();
  NodeProcess program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= 2; }));
  Connection early = Connection::to(program.port());
  EXPECT_EQ(health_status(early), 503) << "there is no server yet";
  discovery.respond_with(watch_response(endpoint_list(3, true, endpoint("s0", server.address()))));
  EXPECT_TRUE(eventually([&] { return health_status(early) == 200; }));
}

// Watches that bring empty lines alone and end must not be taken for failures: each would lengthen the next
// backoff. Silences are left out here; each end is a close, so that the backoffs alone make the time.
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
    // Backoffs that are not set back to the first one would take over 30 s in sum.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 12s) << mode;
  }
}

// An agent that hangs must not hold a call for as long as an open watch may be silent: two such calls in a
// row would outlast the notification deadline.
TEST(DiscoveryWatch, UnansweredCallIsGivenUpSoonerThanAnOpenWatch) {
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
  EXPECT_LT(std::chrono::steady_clock::now() - start, 8s) << "three silences of an open watch take 9 s";
}

}  // namespace
}  // namespace nettleyoke::node
