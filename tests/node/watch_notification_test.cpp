/// @file
/// Bounds on the time until a change of the endpoint list reaches the node after discovery has failed in
/// different ways; docs/lifecycle-races.md derives them. Each test forces a failure path by scripting what
/// discovery does with consecutive calls, and measures until the call to which discovery sends the list. A
/// busy machine can only lengthen a run: if one of three runs is within the bound, so are the node's timeouts
/// and backoffs.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "harness/full_listener.h"
#include "harness/scripted_discovery.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

using Clock = ScriptedDiscovery::Clock;
using Step = DiscoveryStep;

constexpr const char* kUnreachable = "127.0.0.1:9";

struct WatchScript {
  const char* name;
  const char* registry_mode;
  std::vector<Step> steps = {};
};
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest calls the function by this name
void PrintTo(const WatchScript& script, std::ostream* out) { *out << script.name; }
std::string name_of(const testing::TestParamInfo<WatchScript>& script) { return script.param.name; }

NodeConfig config_of(const WatchScript& script, const std::string& discovery) {
  NodeConfig config = config_with_server(kUnreachable, discovery);
  config.registry_mode = script.registry_mode;
  return config;
}

// Runs up to three times, until a run is within the bound; expects that the shortest run is.
void expect_within(double bound_seconds, double (*run)(const WatchScript&), const WatchScript& script) {
  double shortest = 1e9;
  for (int i = 0; i < 3 && shortest >= bound_seconds && !testing::Test::HasFailure(); ++i) {
    shortest = std::min(shortest, run(script));
  }
  EXPECT_LT(shortest, bound_seconds);
}

// The times after which a change counts as notified.
constexpr double kNotifiedWithinSeconds = 6;        // from the end of a watch
constexpr double kReloadNotifiedWithinSeconds = 4;  // from SIGHUP

// The timeouts and backoffs of consecutive calls must not add up to more than the bound.
double seconds_until_notified(const WatchScript& script) {
  ScriptedDiscovery discovery(script.steps, endpoint("s0", kUnreachable));
  const NodeProcess program(config_of(script, discovery.address()).text());
  return discovery.seconds_to_list();
}

class WatchNotification : public testing::TestWithParam<WatchScript> {};
TEST_P(WatchNotification, ArrivesWithinTheBound) {
  expect_within(kNotifiedWithinSeconds, seconds_until_notified, GetParam());
}
INSTANTIATE_TEST_SUITE_P(
    AfterSilenceAnd, WatchNotification,
    testing::Values(
        WatchScript{"Silence", "automatic", {Step::kOneEmptyLine, Step::kSilence}},
        WatchScript{"Head", "automatic", {Step::kOneEmptyLine, Step::kHead}},
        WatchScript{"HalfList", "automatic", {Step::kOneEmptyLine, Step::kIncompleteList}},
        WatchScript{"Trickle", "automatic", {Step::kOneEmptyLine, Step::kTrickle}},
        WatchScript{"HalfListInSubscribeMode", "subscribe", {Step::kOneEmptyLine, Step::kIncompleteList}},
        WatchScript{"TrickleInSubscribeMode", "subscribe", {Step::kOneEmptyLine, Step::kTrickle}}),
    name_of);

// The node must not wait for a connect for as long as it tolerates silence on an open watch.
double seconds_until_second_connect(const WatchScript& script) {
  FullListener discovery;
  const NodeProcess program(config_of(script, discovery.address()).text());
  Connection watch(discovery.accept());
  discovery.fill_queue();
  watch.write(kChunkedResponseHead + http_chunk("\n"));
  const auto silent_since = Clock::now();
  std::set<std::string> connects;
  EXPECT_TRUE(eventually([&] {
    connects.merge(discovery.pending_connect_sources());
    return connects.size() >= 2;
  }));
  return seconds_since(silent_since);
}
TEST(WatchNotification, ArrivesWithinTheBoundAfterSilenceAndAHangingConnect) {
  expect_within(kNotifiedWithinSeconds, seconds_until_second_connect, {"Connect", "automatic"});
}

// The timeouts and backoffs of calls to a new address must not add up to more than the bound.
double seconds_until_notified_by_new_discovery(const WatchScript& script) {
  FakeDiscovery old_discovery;
  ScriptedDiscovery new_discovery(script.steps, endpoint("s0", kUnreachable));
  NodeConfig config = config_of(script, old_discovery.address());
  const NodeProcess program(config.text());
  EXPECT_TRUE(eventually([&] { return !old_discovery.calls().empty(); }));
  config.discovery = new_discovery.address();
  const auto reloaded_at = Clock::now();
  program.reload(config.text());
  return new_discovery.seconds_to_list(reloaded_at);
}

class ReloadNotification : public testing::TestWithParam<WatchScript> {};
TEST_P(ReloadNotification, ArrivesWithinTheBound) {
  expect_within(kReloadNotifiedWithinSeconds, seconds_until_notified_by_new_discovery, GetParam());
}
INSTANTIATE_TEST_SUITE_P(
    After, ReloadNotification,
    testing::Values(
        WatchScript{"Silences", "automatic", {Step::kSilence, Step::kSilence}},
        WatchScript{"HalfLists", "automatic", {Step::kIncompleteList, Step::kIncompleteList}},
        WatchScript{"EmptyLinesOnly", "automatic", {Step::kEndlessEmptyLines}},
        WatchScript{"SilenceInSubscribeMode", "subscribe", {Step::kSilence}},
        WatchScript{"HalfListsInSubscribeMode", "subscribe", {Step::kIncompleteList, Step::kIncompleteList}},
        WatchScript{"ResetsInSubscribeMode", "subscribe", std::vector<Step>(8, Step::kReset)}),
    name_of);

// A reload must end a backoff that has grown: after five resets it is at least 2 s.
double seconds_until_called_again(const WatchScript& script) {
  ScriptedDiscovery discovery(script.steps, endpoint("s0", kUnreachable));
  const NodeConfig config = config_of(script, discovery.address());
  const NodeProcess program(config.text());
  EXPECT_TRUE(eventually([&] { return discovery.calls() == script.steps.size(); }));
  const auto reloaded_at = Clock::now();
  program.reload(config.text());
  return discovery.seconds_to_list(reloaded_at);
}
TEST(ReloadNotification, ReloadToTheSameAddressEndsAGrownBackoff) {
  expect_within(1.5, seconds_until_called_again,
                {"Backoff", "subscribe", std::vector<Step>(5, Step::kReset)});
}

// A server that starts draining must not get a request that is still waiting for a connect to it.
TEST(WatchNotification, ServerThatStartsDrainingDuringAConnectIsSentNothing) {
  FullListener server;
  FakeDiscovery discovery;
  NodeConfig config = config_with_server(server.address(), discovery.address());
  config.registry_mode = "automatic";
  config.bounds = R"("maxAttempts":3,"dialTimeout":14.0)";
  NodeProcess program(config.text());
  server.fill_queue();
  Connection client = Connection::to(program.port());
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(server.eventually_has_pending_connects(1));
  ASSERT_TRUE(discovery.send_list(endpoint_list(8, false, endpoint("s0", server.address(), "draining"))));
  ASSERT_TRUE(eventually([&] { return program.health_status() == 503; }))
      << "the node must have received the list";
  Connection late_connect(server.accept());
  ASSERT_TRUE(late_connect.is_open());
  EXPECT_EQ(late_connect.read_to_end(), "");
  EXPECT_EQ(status_of(client.read_message()), 503) << "the request was not sent";
}

}  // namespace
}  // namespace nettleyoke::node
