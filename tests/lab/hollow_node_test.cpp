// A hollow node against a real one, on the same changes and calls: decisions, control bytes, state.
#include "nodes/hollow_node.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "checks/invariant_checker.h"
#include "lab_harness.h"
#include "nodes/real_node.h"
#include "run/experiment.h"
#include "stand_ins/discovery_stand_in.h"

namespace nettleyoke::lab {
namespace {

using Wire = node::Connection;

Experiment plan() {
  Experiment out;
  out.zones = {"a"};
  out.max_attempts = 1;  // so that a machine that is slow changes no count
  ClassPlan look;
  look.name = "look";
  look.latency_objective = look.client_timeout = 30;
  look.work = 0.0005;
  out.classes = {look};
  out.tenants = {{"acme", 1, 0}};
  return out;
}

struct HollowAndReal : testing::Test {
  static constexpr int kServers = 12, kPosition = 1, kCopies = 6;
  static constexpr std::size_t kSubset = 5;  // so many of 12 servers has a copy of 6

  node::Clock clock;
  Experiment experiment = plan();
  Audit audit{{20, 20, false, experiment.classes}};
  Loop loop;
  std::filesystem::path folder;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  RequestCatalog catalog;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<std::unique_ptr<PlayedNode>> nodes;  // the real one, the hollow one
  int calls = 0;

  void SetUp() override {
    folder = std::filesystem::path(testing::TempDir()) / ("hollow_" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    for (int i = 0; i <= kServers; ++i) {
      servers.push_back(std::make_unique<ServerStandIn>(loop.io(), clock, audit, "s" + std::to_string(i),
                                                        ServerModel::Shape{}, ServerStandIn::Limits{},
                                                        experiment.classes, 1));
      if (i < kServers) set(i, "up");
    }
    const std::size_t real = add_agent("real"), hollow = add_agent("hollow");
    nodes.push_back(std::make_unique<RealNode>(
        loop.io(), audit, RealNode::Place{NODE_PROGRAM, folder.string(), "real", "a", real, 512}));
    nodes.push_back(std::make_unique<HollowNode>(
        loop.io(), clock, HollowNode::Place{folder.string(), "hollow", "a", hollow},
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
      EXPECT_TRUE(node::eventually([&] { return call_operators(i, "READY") == "YES\n"; }));
    }
  }
  void TearDown() override {
    loop.in_loop([this] {
      for (const auto& node : nodes) node->end();
    });
    EXPECT_TRUE(node::eventually([this] { return nodes[0]->has_ended(); }));
    EXPECT_EQ(nodes[0]->status(), 0);
    loop.stop();
    std::filesystem::remove_all(folder);
  }

  std::size_t add_agent(const std::string& name) {
    const std::size_t number = audit.add_node(name);
    agents.push_back(std::make_unique<Agent>(loop.io(), clock, audit, number, true));
    agents.back()->send(catalog);
    return number;
  }
  std::string config(std::size_t which) const {
    return R"({"name":"n","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"17","discovery":"127.0.0.1:)" +
           std::to_string(agents[which]->local().port()) + R"(","known":)" + catalog.snapshot() +
           R"(,"settings":)" + settings_json(experiment, 0, "a", kPosition, kCopies) + "}";
  }
  void set(int server, const std::string& status) {
    const ServerStandIn& one = *servers[static_cast<std::size_t>(server)];
    catalog.set({one.name(), one.address(), "a", status, 0});
    for (const auto& agent : agents) agent->send(catalog);
  }
  std::string call_operators(std::size_t which, const std::string& line) const {
    const auto where = nodes[which]->operators();
    if (!where) return {};
    Wire wire = Wire::to(where->port());
    wire.write(line + "\n");
    return wire.read_to_end();
  }
  // The servers that so many calls, one after the other, went to.
  std::set<std::string> used(std::size_t which, int count) {
    std::set<std::string> out;
    for (int i = 0; i < count; ++i) {
      PlayedNode::Call call;
      call.id = "c" + std::to_string(++calls);
      call.request_class = "look";
      call.tenant = "acme";
      call.time = 30;
      std::promise<Ending> ended;
      loop.in_loop([&] {
        audit.call_sent(call.id, nodes[which]->number(), 0, call.time, clock.now());
        nodes[which]->call(call, [&](Ending ending) {
          audit.call_ended(call.id, ending, clock.now());
          ended.set_value(ending);
        });
      });
      EXPECT_EQ(ended.get_future().get(), Ending::kServed);
      loop.in_loop([&] {
        for (const Audit::Attempt& attempt : audit.calls().at(call.id).attempts) {
          out.insert(audit.servers()[attempt.server]);
        }
      });
    }
    return out;
  }
};

TEST_F(HollowAndReal, DecideAskAndCountAlike) {
  constexpr int kCalls = 60;
  const std::set<std::string> real = used(0, kCalls), hollow = used(1, kCalls);
  // The subset is worked out from the copy's number alone: both have the same.
  std::set<std::string> both = real;
  both.insert(hollow.begin(), hollow.end());
  EXPECT_LE(both.size(), kSubset);
  EXPECT_GE(real.size(), 2U);
  EXPECT_GE(hollow.size(), 2U);
  // Two of these drain or leave, a third is taken out by hand, and a new one comes.
  const std::vector<std::string> usual(both.begin(), both.end());
  ASSERT_GE(usual.size(), 3U);
  loop.in_loop([&] {
    set(std::stoi(usual[0].substr(1)), "draining");
    set(std::stoi(usual[1].substr(1)), "removed");
    set(kServers, "up");
  });
  for (std::size_t which = 0; which < nodes.size(); ++which) {
    const std::string index = std::to_string(catalog.index());
    EXPECT_EQ(call_operators(which, "DISABLE " + usual[2]), "YES\n");
    EXPECT_EQ(call_operators(which, "DISABLE nobody"), "NO unknown server\n");
    // One listed server less and one more: the change is in force once it names the new one.
    EXPECT_TRUE(node::eventually([&] { return call_operators(which, "ENABLE s12") == "YES\n"; }));
  }
  for (std::size_t which = 0; which < nodes.size(); ++which) {
    const std::set<std::string> now = used(which, kCalls);
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(now.contains(usual[static_cast<std::size_t>(i)])) << which;
  }
  EXPECT_EQ(call_operators(0, "STATS"), call_operators(1, "STATS"));
  loop.in_loop([this] {
    const Agent::Counts &real = agents[0]->counts(), &hollow = agents[1]->counts();
    EXPECT_EQ(real.entries, 3U);
    EXPECT_EQ(hollow.entries, 3U);
    EXPECT_EQ(real.whole_lists, hollow.whole_lists);
    EXPECT_EQ(real.bytes_in / real.calls, hollow.bytes_in / hollow.calls);
    EXPECT_TRUE(audit.breaks().empty());
  });
}

}  // namespace
}  // namespace nettleyoke::lab
