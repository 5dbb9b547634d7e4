/// @file
/// SIGHUP: the configuration is read again, and discovery followed to its new address.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// The node must not end on SIGHUP, stay with the old address, or trust the list versions of the old one.
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
      << "the old watch is closed";
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
  // The watch goes on: its events still arrive.
  deployment.discovery.send_list(
      endpoint_list(8, false, endpoint("s0", deployment.server.address(), "draining")));
  EXPECT_TRUE(deployment.eventually_answers_with_status(503));
}

TEST(Reload, RepeatedReloadsLeaveOneWatchAtTheLastAddress) {
  OneServerDeployment deployment;
  FakeDiscovery one;
  FakeDiscovery two;
  for (int i = 0; i < 20; ++i) {
    NodeConfig config = deployment.config;
    config.discovery = (i % 2 == 0 ? one : two).address();
    deployment.program->reload(config.text());
    ASSERT_TRUE(deployment.program->is_running());
  }
  EXPECT_TRUE(eventually([&] {
    return one.listener().open_connections() == 0 &&
           deployment.discovery.listener().open_connections() == 0 && two.listener().open_connections() == 1;
  }));
  EXPECT_TRUE(deployment.eventually_answers("ok"));
}

// The backoff that has grown with the failures at the old address must not be waited out.
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

TEST(Reload, WhileDrainingDoesNotEndTheProcess) {
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

TEST(SettingsReload, AddedClassIsServedAndDroppedOneExpires) {
  OneServerDeployment deployment;
  const RequestBuilder touch{.request_class = "touch", .id = "t1", .idempotency_key = "k"};
  EXPECT_EQ(deployment.status_for(touch), 400);
  NodeConfig config = deployment.config;
  config.classes =
      class_json("look", "safe") + "," + class_json("touch", "keyed", R"(,"group":"all","dedupWindow":15.0)");
  deployment.reload(config);
  EXPECT_EQ(deployment.status_for(touch), 200);
  EXPECT_EQ(deployment.status_for({.request_class = "touch", .id = "t2"}), 400) << "no key";
  EXPECT_EQ(deployment.status_for(get_request("l1")), 200);
  int count = 0;
  EXPECT_TRUE(eventually([&] {
    return deployment.status_for({.id = "old" + std::to_string(++count)}) == 400;
  })) << "a class that is no longer there";
}

// Clients that have not heard of the change yet must not be rejected.
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
  EXPECT_EQ(status_of(client.read_message()), 200) << "non-idempotent, as before";
  EXPECT_EQ(status_of(other.read_message()), 200) << "idempotent, as now";
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
  EXPECT_EQ(deployment.server.requests().size(), 4U) << "the next one has a single attempt";
}

struct InvalidFile {
  std::string text;
  std::string named_in_log;
};

TEST(SettingsReload, InvalidFileChangesNothing) {
  FakeServer server(always_reply(200, "ok"));
  FakeDiscovery elsewhere;
  Deployment deployment({&server});
  NodeConfig config = deployment.config;
  config.classes = class_json("look", "safe");
  config.discovery = elsewhere.address();
  const std::string good = config.text();
  const auto replaced = [&](const std::string& what, const std::string& instead) {
    std::string text = good;
    EXPECT_NE(text.find(what), std::string::npos) << what;
    return text.replace(text.find(what), what.size(), instead);
  };
  const std::vector<InvalidFile> invalid = {
      {"", "JSON"},
      {good.substr(0, good.size() / 2), "JSON"},
      {replaced(R"("maxAttempts":3,)", ""), "maxAttempts"},
      {replaced(R"("maxAttempts":3)", R"("maxAttempts":0)"), "max_attempts"},
      {replaced(R"("maxAttempts":3)", R"("maxAttempts":-2)"), "max_attempts"},
      {replaced(R"("maxAttempts":3)", R"("maxAttempts":"3")"), "maxAttempts"},
      {replaced(R"("giveUp":15.0,)", ""), "giveUp"},
      {replaced(R"("giveUp":15.0)", R"("giveUp":0)"), "client_timeout"},
      {replaced(R"("giveUp":15.0)", R"("giveUp":-1)"), "client_timeout"},
      {replaced(R"("giveUp":15.0)", R"("giveUp":null)"), "giveUp"},
      {replaced(R"("giveUp":15.0)", R"("giveUp":true)"), "giveUp"},
      {replaced(R"("lateWorth":0.5)", R"("extra":0.5)"), "lateWorth"},
      {replaced(R"("peersTotal":1,)", ""), "peersTotal"},
      {replaced(R"(,"rules":{"askWithin":10.0})", ""), "rules"},
      {replaced(R"("seed":"8c1f30d27a5be964",)", ""), "seed"},
  };
  for (std::size_t i = 0; i < invalid.size(); ++i) {
    deployment.program->reload(invalid[i].text);
    ASSERT_TRUE(eventually([&] {
      return deployment.program->count_in_log("the configuration in force is kept") ==
             static_cast<int>(i + 1);
    })) << invalid[i].named_in_log
        << deployment.program->log();
    const std::string log = deployment.program->log();
    EXPECT_NE(log.substr(log.rfind("reload: ")).find(invalid[i].named_in_log), std::string::npos) << log;
  }
  EXPECT_EQ(elsewhere.calls().size(), 0U);
  std::this_thread::sleep_for(2500ms);  // past the time in which the previous settings are valid too
  EXPECT_EQ(deployment.status_for({}), 200) << "the classes are those of the start";
  deployment.reload(config);
  EXPECT_TRUE(eventually([&] { return elsewhere.calls().size() == 1; })) << "the complete file is applied";
}

}  // namespace
}  // namespace nettleyoke::node
