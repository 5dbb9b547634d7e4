// The discovery agent's responses to a node: endpoint lists, and watches with changes and faults.
#include "stand_ins/discovery_agent.h"

#include "lab_harness.h"

namespace nettleyoke::lab {
namespace {

using node::Connection;

struct DiscoveryAgentTest : StandInTest {
  DiscoveryAgent agent{loop.io(), clock, checker, node_number, DiscoveryAgent::Notification::kImmediate};
  EndpointCatalog catalog;

  void SetUp() override {
    change("s0", EndpointStatus::kUp);
    change("s1", EndpointStatus::kUp);
    StandInTest::SetUp();
  }
  void change(const std::string& name, EndpointStatus status) {
    catalog.set({name, "127.0.0.1:9", "a", status, 0});
    agent.publish(catalog);
  }
  Connection get(const std::string& query) const {
    Connection connection = Connection::to(agent.endpoint().port());
    connection.write("GET /catalog/members" + query + " HTTP/1.1\r\nHost: agent\r\n\r\n");
    return connection;
  }
  // The version of the endpoint list that the agent sends now.
  std::string listed_version() const {
    Connection connection = get("");
    const std::string list = connection.read_message();
    return list.substr(list.find("index") + 7, 1);
  }
};

TEST_F(DiscoveryAgentTest, ListOrWatchRequested_AgentSendsFullListOrChangesSinceTheVersion) {
  const std::string all = get("").read_message();
  EXPECT_NE(all.find(R"("index":2,"snapshot":true)"), std::string::npos) << all;
  EXPECT_NE(all.find(R"("name":"s0","address":"127.0.0.1:9","zone":"a")"), std::string::npos) << all;
  Connection watch = get("?watch=1&after=1");
  const std::string changed = read_until(watch, "}]}");
  EXPECT_NE(changed.find(R"("index":2,"snapshot":false)"), std::string::npos) << changed;
  EXPECT_EQ(changed.find(R"("name":"s0")"), std::string::npos) << changed;
  loop.in_loop([this] { change("s0", EndpointStatus::kDraining); });
  const std::string next = read_until(watch, "}]}");
  EXPECT_NE(next.find(R"("index":3,"snapshot":false)"), std::string::npos) << next;
  EXPECT_NE(next.find(R"("status":"draining")"), std::string::npos) << next;
  EXPECT_NE(read_until(watch, "1\r\n\n\r\n"), "");  // while nothing changes, the agent sends empty lines
  // For a watch from a version that the agent never had, it sends the full list.
  Connection other = get("?watch=1&after=99");
  const std::string full = read_until(other, "}]}");
  EXPECT_NE(full.find(R"("index":3,"snapshot":true)"), std::string::npos) << full;
}

TEST_F(DiscoveryAgentTest, DiscoveryDown_WatchRequested_ChangeIsSentOnceDiscoveryIsUp) {
  loop.in_loop([this] {
    agent.set_down(true);
    change("s1", EndpointStatus::kRemoved);
  });
  Connection watch = get("?watch=1&after=2");
  loop.in_loop([this] {
    EXPECT_EQ(agent.version(), 2U);  // the agent receives no change while discovery is down
    agent.set_down(false);
  });
  EXPECT_NE(read_until(watch, "}]}").find(R"("status":"removed")"), std::string::npos);
  loop.in_loop([this] { agent.reset_watches(); });
  EXPECT_EQ(read_until(watch, "never"), "");
}

TEST_F(DiscoveryAgentTest, WatchStalled_ServerDrains_ChangeIsSentOnTheNextWatchOnly) {
  Connection stalled = get("?watch=1&after=2");
  read_until(stalled, "}");
  loop.in_loop([this] {
    agent.stall_watches();
    change("s0", EndpointStatus::kDraining);
  });
  Connection next = get("?watch=1&after=2");
  EXPECT_NE(read_until(next, "}]}").find(R"("status":"draining")"), std::string::npos);
  read_until(next, "1\r\n\n\r\n");  // an empty line; the agent sends nothing on the stalled watch
  ::shutdown(stalled.fd(), SHUT_RD);
  EXPECT_EQ(read_until(stalled, "draining"), "");
}

TEST_F(DiscoveryAgentTest, PartitionedOrDelayed_ServerChanges_AgentKeepsItsVersion) {
  loop.in_loop([this] {
    agent.set_partitioned(true);
    change("s1", EndpointStatus::kRemoved);
  });
  EXPECT_EQ(listed_version(), "2");
  loop.in_loop([this] { agent.set_partitioned(false); });
  EXPECT_EQ(listed_version(), "3");
  loop.in_loop([this] {
    agent.set_delay(3600);
    change("s2", EndpointStatus::kUp);
  });
  EXPECT_EQ(listed_version(), "3");
}

}  // namespace
}  // namespace nettleyoke::lab
