// A hollow node and a real node that get the same endpoint list changes and calls use servers of
// the same subset, send equally long discovery requests and report the same metrics.
#include "nodes/hollow_node.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "checks/invariant_checker.h"
#include "lab_harness.h"
#include "nodes/real_node.h"
#include "run/experiment.h"
#include "run/node_settings.h"
#include "stand_ins/discovery_agent.h"

namespace nettleyoke::lab {
namespace {

using Connection = node::Connection;

Experiment one_class_experiment() {
  Experiment experiment;
  experiment.nodes.zones = {"a"};
  experiment.settings.max_attempts = 1;  // retries on a slow machine would change the counts
  ClassSpec spec;
  spec.name = "look";
  spec.latency_objective = spec.client_timeout = 30;
  spec.work = 0.0005;
  experiment.classes = {spec};
  experiment.tenants = {{"acme", 1, 0}};
  return experiment;
}

struct HollowAndRealNode : testing::Test {
  static constexpr int kServers = 12, kReplicaIndex = 1, kReplicaCount = 6;
  static constexpr std::size_t kSubsetSize = 5;  // subset size for 12 servers and 6 replicas

  node::Clock clock;
  Experiment experiment = one_class_experiment();
  InvariantChecker checker{{20, 20, false, experiment.classes}};
  Loop loop;
  std::filesystem::path folder;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  EndpointCatalog catalog;
  std::vector<std::unique_ptr<DiscoveryAgent>> agents;
  std::vector<std::unique_ptr<NodeUnderTest>> nodes;  // the real node, then the hollow node
  int calls = 0;

  void SetUp() override {
    folder = std::filesystem::path(testing::TempDir()) / ("hollow_" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    for (int i = 0; i <= kServers; ++i) {
      servers.push_back(std::make_unique<ServerStandIn>(loop.io(), clock, checker, "s" + std::to_string(i),
                                                        ServerModel::Parameters{}, ServerStandIn::Limits{},
                                                        experiment.classes, 1));
      if (i < kServers) set(i, EndpointStatus::kUp);
    }
    const std::size_t real = add_agent("real"), hollow = add_agent("hollow");
    nodes.push_back(std::make_unique<RealNode>(
        loop.io(), checker, RealNode::Options{NODE_PROGRAM, folder.string(), "real", "a", real, 512}));
    nodes.push_back(std::make_unique<HollowNode>(
        loop.io(), clock, HollowNode::Options{folder.string(), "hollow", "a", hollow},
        [this](const std::string& name) {
          const auto has_name = [&name](const auto& server) { return server->name() == name; };
          const auto found = std::find_if(servers.begin(), servers.end(), has_name);
          return found == servers.end() ? nullptr : found->get();
        }));
    loop.start();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::promise<void> ready;
      loop.in_loop([&] { nodes[i]->start(config(i), [&] { ready.set_value(); }); });
      ready.get_future().wait();
      EXPECT_TRUE(node::eventually([&] { return admin(i, "READY") == "YES\n"; }));
    }
  }
  void TearDown() override {
    loop.in_loop([this] {
      for (const auto& node : nodes) node->shut_down();
    });
    EXPECT_TRUE(node::eventually([this] { return nodes[0]->has_exited(); }));
    EXPECT_EQ(nodes[0]->exit_status(), 0);
    loop.stop();
    std::filesystem::remove_all(folder);
  }

  std::size_t add_agent(const std::string& name) {
    const std::size_t number = checker.add_node(name);
    agents.push_back(std::make_unique<DiscoveryAgent>(loop.io(), clock, checker, number,
                                                      DiscoveryAgent::Notification::kImmediate));
    agents.back()->publish(catalog);
    return number;
  }
  std::string config(std::size_t node_index) const {
    return R"({"name":"n","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"17","discovery":"127.0.0.1:)" +
           std::to_string(agents[node_index]->endpoint().port()) + R"(","known":)" + catalog.full_list() +
           R"(,"settings":)" + settings_json(experiment, {0, "a", kReplicaIndex, kReplicaCount}) + "}";
  }
  void set(int server, EndpointStatus status) {
    const ServerStandIn& stand_in = *servers[static_cast<std::size_t>(server)];
    catalog.set({stand_in.name(), stand_in.address(), "a", status, 0});
    for (const auto& agent : agents) agent->publish(catalog);
  }
  std::string admin(std::size_t node_index, const std::string& command) const {
    const auto endpoint = nodes[node_index]->admin_endpoint();
    if (!endpoint) return {};
    Connection connection = Connection::to(endpoint->port());
    connection.write(command + "\n");
    return connection.read_to_end();
  }
  // Sends `count` calls, one after the other, and returns the servers that received them.
  std::set<std::string> servers_used(std::size_t node_index, int count) {
    std::set<std::string> used;
    for (int i = 0; i < count; ++i) {
      NodeUnderTest::Call call;
      call.id = "c" + std::to_string(++calls);
      call.request_class = "look";
      call.tenant = "acme";
      call.timeout = 30;
      std::promise<CallOutcome> ended;
      loop.in_loop([&] {
        checker.call_sent(call.id, nodes[node_index]->number(), 0, call.timeout, clock.now());
        nodes[node_index]->call(call, [&](CallOutcome outcome) {
          checker.call_ended(call.id, outcome, clock.now());
          ended.set_value(outcome);
        });
      });
      EXPECT_EQ(ended.get_future().get(), CallOutcome::kServed);
      loop.in_loop([&] {
        for (const InvariantChecker::Attempt& attempt : checker.calls().at(call.id).attempts) {
          used.insert(checker.servers()[attempt.server]);
        }
      });
    }
    return used;
  }
};

TEST_F(HollowAndRealNode, SameCallsAndChanges_SameSubsetExclusionsAndCounters) {
  constexpr int kCalls = 60;
  const std::set<std::string> real = servers_used(0, kCalls), hollow = servers_used(1, kCalls);
  // The subset depends only on the replica's index and the replica count, so both nodes have the same one.
  std::set<std::string> both = real;
  both.insert(hollow.begin(), hollow.end());
  EXPECT_LE(both.size(), kSubsetSize);
  EXPECT_GE(real.size(), 2U);
  EXPECT_GE(hollow.size(), 2U);
  // One server of the subset drains, one is removed, one is disabled on the admin server, and a new one is
  // added.
  const std::vector<std::string> subset(both.begin(), both.end());
  ASSERT_GE(subset.size(), 3U);
  loop.in_loop([&] {
    set(std::stoi(subset[0].substr(1)), EndpointStatus::kDraining);
    set(std::stoi(subset[1].substr(1)), EndpointStatus::kRemoved);
    set(kServers, EndpointStatus::kUp);
  });
  for (std::size_t node_index = 0; node_index < nodes.size(); ++node_index) {
    const std::string index = std::to_string(catalog.version());
    EXPECT_EQ(admin(node_index, "DISABLE " + subset[2]), "YES\n");
    EXPECT_EQ(admin(node_index, "DISABLE nobody"), "NO unknown server\n");
    // The node rejects commands for a server until its endpoint list contains that server.
    EXPECT_TRUE(node::eventually([&] { return admin(node_index, "ENABLE s12") == "YES\n"; }));
  }
  for (std::size_t node_index = 0; node_index < nodes.size(); ++node_index) {
    const std::set<std::string> now = servers_used(node_index, kCalls);
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(now.contains(subset[static_cast<std::size_t>(i)])) << node_index;
  }
  EXPECT_EQ(admin(0, "STATS"), admin(1, "STATS"));
  loop.in_loop([this] {
    const DiscoveryAgent::Counters &real = agents[0]->counters(), &hollow = agents[1]->counters();
    EXPECT_EQ(real.changes, 3U);
    EXPECT_EQ(hollow.changes, 3U);
    EXPECT_EQ(real.full_lists, hollow.full_lists);
    EXPECT_EQ(real.bytes_in / real.calls, hollow.bytes_in / hollow.calls);
    EXPECT_TRUE(checker.violations().empty());
  });
}

}  // namespace
}  // namespace nettleyoke::lab
