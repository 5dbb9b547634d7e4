// A hollow node against a real one, on the same changes and calls: decisions, control bytes, state.
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
  experiment.settings.max_attempts = 1;  // so that a machine that is slow changes no count
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
  static constexpr std::size_t kSubset = 5;  // of 12 servers, for one of 6 replicas

  node::Clock clock;
  Experiment experiment = one_class_experiment();
  InvariantChecker checker{{20, 20, false, experiment.classes}};
  Loop loop;
  std::filesystem::path folder;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  EndpointCatalog catalog;
  std::vector<std::unique_ptr<DiscoveryAgent>> agents;
  std::vector<std::unique_ptr<NodeUnderTest>> nodes;  // the real one, the hollow one
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
          const auto is_it = [&name](const auto& server) { return server->name() == name; };
          const auto at = std::find_if(servers.begin(), servers.end(), is_it);
          return at == servers.end() ? nullptr : at->get();
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
  std::string config(std::size_t which) const {
    return R"({"name":"n","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"17","discovery":"127.0.0.1:)" +
           std::to_string(agents[which]->endpoint().port()) + R"(","known":)" + catalog.full_list() +
           R"(,"settings":)" + settings_json(experiment, {0, "a", kReplicaIndex, kReplicaCount}) + "}";
  }
  void set(int server, EndpointStatus status) {
    const ServerStandIn& one = *servers[static_cast<std::size_t>(server)];
    catalog.set({one.name(), one.address(), "a", status, 0});
    for (const auto& agent : agents) agent->publish(catalog);
  }
  std::string admin(std::size_t which, const std::string& line) const {
    const auto where = nodes[which]->admin_endpoint();
    if (!where) return {};
    Connection connection = Connection::to(where->port());
    connection.write(line + "\n");
    return connection.read_to_end();
  }
  // The servers that so many calls, one after the other, went to.
  std::set<std::string> used(std::size_t which, int count) {
    std::set<std::string> out;
    for (int i = 0; i < count; ++i) {
      NodeUnderTest::Call call;
      call.id = "c" + std::to_string(++calls);
      call.request_class = "look";
      call.tenant = "acme";
      call.timeout = 30;
      std::promise<CallOutcome> ended;
      loop.in_loop([&] {
        checker.call_sent(call.id, nodes[which]->number(), 0, call.timeout, clock.now());
        nodes[which]->call(call, [&](CallOutcome outcome) {
          checker.call_ended(call.id, outcome, clock.now());
          ended.set_value(outcome);
        });
      });
      EXPECT_EQ(ended.get_future().get(), CallOutcome::kServed);
      loop.in_loop([&] {
        for (const InvariantChecker::Attempt& attempt : checker.calls().at(call.id).attempts) {
          out.insert(checker.servers()[attempt.server]);
        }
      });
    }
    return out;
  }
};

TEST_F(HollowAndRealNode, SameCallsAndChanges_SameSubsetExclusionsAndCounters) {
  constexpr int kCalls = 60;
  const std::set<std::string> real = used(0, kCalls), hollow = used(1, kCalls);
  // The subset is worked out from the replica's index alone: both have the same.
  std::set<std::string> both = real;
  both.insert(hollow.begin(), hollow.end());
  EXPECT_LE(both.size(), kSubset);
  EXPECT_GE(real.size(), 2U);
  EXPECT_GE(hollow.size(), 2U);
  // Two of these drain or leave, a third is disabled by an operator, and a new one comes.
  const std::vector<std::string> usual(both.begin(), both.end());
  ASSERT_GE(usual.size(), 3U);
  loop.in_loop([&] {
    set(std::stoi(usual[0].substr(1)), EndpointStatus::kDraining);
    set(std::stoi(usual[1].substr(1)), EndpointStatus::kRemoved);
    set(kServers, EndpointStatus::kUp);
  });
  for (std::size_t which = 0; which < nodes.size(); ++which) {
    const std::string index = std::to_string(catalog.version());
    EXPECT_EQ(admin(which, "DISABLE " + usual[2]), "YES\n");
    EXPECT_EQ(admin(which, "DISABLE nobody"), "NO unknown server\n");
    // One listed server less and one more: the change is in force once it names the new one.
    EXPECT_TRUE(node::eventually([&] { return admin(which, "ENABLE s12") == "YES\n"; }));
  }
  for (std::size_t which = 0; which < nodes.size(); ++which) {
    const std::set<std::string> now = used(which, kCalls);
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(now.contains(usual[static_cast<std::size_t>(i)])) << which;
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
