/// @file
/// Reload of the configuration on SIGHUP: the discovery address, the settings, and invalid files.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// On SIGHUP the node must not exit, keep the old discovery address, or send the new discovery agent a list
// version of the old one.
TEST(Reload, NewDiscoveryAddressIsAskedForACompleteList) {
  FakeServer old_server(always_reply(200, "old"));
  FakeServer new_server(always_reply(200, "new"));
  Deployment deployment({&old_server});
  ASSERT_TRUE(eventually([&] { return deployment.discovery.calls().size() == 1; }));
  FakeDiscovery new_discovery;
  new_discovery.respond_with(watch_response(endpoint_list(3, true, endpoint("n0", new_server.address()))));
  NodeConfig config = deployment.config;
  config.discovery = new_discovery.address();
  deployment.program->reload(config.text());
  ASSERT_TRUE(deployment.eventually_answers("new"));
  ASSERT_FALSE(new_discovery.calls().empty());
  EXPECT_EQ(new_discovery.calls()[0].find("after="), std::string::npos) << new_discovery.calls()[0];
  EXPECT_TRUE(eventually([&] { return deployment.discovery.listener().open_connections() == 0; }))
      << "the node must close the old watch";
  EXPECT_EQ(deployment.discovery.calls().size(), 1U);
}

TEST(Reload, InvalidFileIsLoggedOnOneLineAndIgnored) {
  OneServerDeployment deployment;
  ASSERT_TRUE(eventually([&] { return deployment.discovery.calls().size() == 1; }));
  const std::vector<std::string> invalid = {"{\"name\":", "", "{}",
                                            NodeConfig{.discovery = "nowhere"}.text()};
  for (std::size_t i = 0; i < invalid.size(); ++i) {
    deployment.program->reload(invalid[i]);
    ASSERT_TRUE(eventually([&] {
      return deployment.program->count_in_log("reload: ") == static_cast<int>(i + 1);
    })) << deployment.program->log();
  }
  EXPECT_TRUE(deployment.eventually_answers("ok"));
  // The watch is not interrupted: its events still arrive.
  deployment.discovery.send_list(
      endpoint_list(8, false, endpoint("s0", deployment.server.address(), "draining")));
  EXPECT_TRUE(deployment.eventually_answers_with_status(503));
}

TEST(Reload, RepeatedReloadsLeaveOneWatchAtTheLastAddress) {
  OneServerDeployment deployment;
  FakeDiscovery earlier;
  FakeDiscovery last;
  for (int i = 0; i < 20; ++i) {
    NodeConfig config = deployment.config;
    config.discovery = (i % 2 == 0 ? earlier : last).address();
    deployment.program->reload(config.text());
    ASSERT_TRUE(deployment.program->is_running());
  }
  EXPECT_TRUE(eventually([&] {
    return earlier.listener().open_connections() == 0 &&
           deployment.discovery.listener().open_connections() == 0 && last.listener().open_connections() == 1;
  }));
  EXPECT_TRUE(deployment.eventually_answers("ok"));
}

// A backoff that has grown with failures at the old address must not delay calls to the new one.
TEST(Reload, RefusedConnectToTheNewAddressIsRetried) {
  FakeServer old_server(always_reply(200, "old"));
  FakeServer new_server(always_reply(200, "new"));
  Deployment deployment({&old_server});
  const int port = unused_port();
  NodeConfig config = deployment.config;
  config.discovery = "127.0.0.1:" + std::to_string(port);
  deployment.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return deployment.program->count_in_log("reload: ") == 1; }));
  FakeDiscovery new_discovery(port);
  new_discovery.respond_with(watch_response(endpoint_list(3, true, endpoint("n0", new_server.address()))));
  EXPECT_TRUE(deployment.eventually_answers("new"));
}

TEST(Reload, DuringGracefulShutdownDoesNotEndTheProcess) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate));
  Connection client = deployment.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  deployment.program->signal(SIGTERM);
  FakeDiscovery new_discovery;
  NodeConfig config = deployment.config;
  config.discovery = new_discovery.address();
  deployment.program->reload(config.text());
  EXPECT_TRUE(eventually([&] { return new_discovery.calls().size() == 1; }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(deployment.program->exit_status(), 0);
}

TEST(SettingsReload, AddedClassIsServedAndRemovedClassExpires) {
  OneServerDeployment deployment;
  const RequestBuilder touch{.request_class = "touch", .id = "t1", .idempotency_key = "k"};
  EXPECT_EQ(deployment.status_for(touch), 400);
  NodeConfig config = deployment.config;
  config.classes =
      class_json("look", "safe") + "," + class_json("touch", "keyed", R"(,"group":"all","dedupWindow":15.0)");
  deployment.reload(config);
  EXPECT_EQ(deployment.status_for(touch), 200);
  EXPECT_EQ(deployment.status_for({.request_class = "touch", .id = "t2"}), 400)
      << "the idempotency key is missing";
  EXPECT_EQ(deployment.status_for(get_request("l1")), 200);
  int count = 0;
  EXPECT_TRUE(eventually([&] {
    return deployment.status_for({.id = "old" + std::to_string(++count)}) == 400;
  })) << "the removed class must be rejected after a while";
}

// Clients that do not have the new settings yet must not be rejected.
TEST(SettingsReload, RequestsValidUnderThePreviousSettingsAreServedForAWhile) {
  OneServerDeployment deployment;
  NodeConfig config = deployment.config;
  config.classes = class_json("close", "safe");
  Connection client = deployment.client();
  Connection other = deployment.client();
  deployment.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return deployment.program->count_in_log("reload: ") == 1; }));
  client.write(RequestBuilder{}.text());
  other.write(RequestBuilder{.id = "r2", .method = "GET", .body = ""}.text());
  EXPECT_EQ(status_of(client.read_message()), 200) << "POST must stay valid: the class was non-idempotent";
  EXPECT_EQ(status_of(other.read_message()), 200) << "GET must be valid: the class is idempotent now";
}

TEST(SettingsReload, RequestInFlightKeepsItsAttemptLimit) {
  Gate gate;
  OneServerDeployment deployment(reply_after(gate, 503, "", "X-Not-Processed: 1\r\n"));
  Connection client = deployment.client();
  client.write(RequestBuilder{}.text());
  ASSERT_TRUE(deployment.server.eventually_received(1));
  NodeConfig config = deployment.config;
  config.bounds.replace(config.bounds.find("\"maxAttempts\":3"), 15, "\"maxAttempts\":1");
  deployment.reload(config);
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 503);
  EXPECT_EQ(deployment.server.requests().size(), 3U);
  EXPECT_EQ(deployment.status_for({.id = "after"}), 503);
  EXPECT_EQ(deployment.server.requests().size(), 4U) << "a request after the reload has a single attempt";
}

struct InvalidFile {
  std::string text;
  std::string expected_in_log;
};

TEST(SettingsReload, InvalidFileChangesNothing) {
  FakeServer server(always_reply(200, "ok"));
  FakeDiscovery new_discovery;
  Deployment deployment({&server});
  NodeConfig config = deployment.config;
  config.classes = class_json("look", "safe");
  config.discovery = new_discovery.address();
  const std::string valid = config.text();
  const auto with_replaced = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    EXPECT_NE(text.find(from), std::string::npos) << from;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<InvalidFile> invalid = {
      {"", "JSON"},
      {valid.substr(0, valid.size() / 2), "JSON"},
      {with_replaced(R"("maxAttempts":3,)", ""), "maxAttempts"},
      {with_replaced(R"("maxAttempts":3)", R"("maxAttempts":0)"), "max_attempts"},
      {with_replaced(R"("maxAttempts":3)", R"("maxAttempts":-2)"), "max_attempts"},
      {with_replaced(R"("maxAttempts":3)", R"("maxAttempts":"3")"), "maxAttempts"},
      {with_replaced(R"("giveUp":15.0,)", ""), "giveUp"},
      {with_replaced(R"("giveUp":15.0)", R"("giveUp":0)"), "client_timeout"},
      {with_replaced(R"("giveUp":15.0)", R"("giveUp":-1)"), "client_timeout"},
      {with_replaced(R"("giveUp":15.0)", R"("giveUp":null)"), "giveUp"},
      {with_replaced(R"("giveUp":15.0)", R"("giveUp":true)"), "giveUp"},
      {with_replaced(R"("lateWorth":0.5)", R"("extra":0.5)"), "lateWorth"},
      {with_replaced(R"("peersTotal":1,)", ""), "peersTotal"},
      {with_replaced(R"(,"rules":{"askWithin":10.0})", ""), "rules"},
      {with_replaced(R"("seed":"8c1f30d27a5be964",)", ""), "seed"},
  };
  for (std::size_t i = 0; i < invalid.size(); ++i) {
    deployment.program->reload(invalid[i].text);
    ASSERT_TRUE(eventually([&] {
      return deployment.program->count_in_log("the configuration in force is kept") ==
             static_cast<int>(i + 1);
    })) << invalid[i].expected_in_log
        << deployment.program->log();
    const std::string log = deployment.program->log();
    EXPECT_NE(log.substr(log.rfind("reload: ")).find(invalid[i].expected_in_log), std::string::npos) << log;
  }
  EXPECT_EQ(new_discovery.calls().size(), 0U);
  std::this_thread::sleep_for(2500ms);  // longer than the previous classes are accepted
  EXPECT_EQ(deployment.status_for({}), 200) << "the classes of the start must still be in force";
  deployment.reload(config);
  EXPECT_TRUE(eventually([&] { return new_discovery.calls().size() == 1; }))
      << "the valid file must be applied";
}

}  // namespace
}  // namespace nettleyoke::node
