/// @file
/// The servers, discovery agents and nodes of a run. The fleet creates them and finds them by name, tier and
/// zone. It does not start nodes, send load or decide when faults begin.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "nodes/node_under_test.h"
#include "nodes/real_node.h"
#include "run/experiment.h"
#include "run/node_settings.h"
#include "stand_ins/discovery_agent.h"
#include "stand_ins/endpoint_catalog.h"
#include "stand_ins/server_stand_in.h"

namespace nettleyoke::lab {

/// The servers of a tier and discovery's endpoint list of them.
struct ServerTier {
  EndpointCatalog catalog;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  std::vector<std::string> zones;  ///< the zone of each server, in the order of `servers`
};

/// A node with its discovery agent.
struct FleetNode {
  std::string name;
  int tier = 0;
  std::unique_ptr<DiscoveryAgent> agent;
  std::unique_ptr<NodeUnderTest> node;
  RealNode* real = nullptr;  ///< the same node as `node`; null for a hollow node
  std::string config;        ///< JSON text of its configuration
};

class Fleet {
 public:
  /// Objects that the fleet uses. They must outlive the fleet.
  struct Environment {
    boost::asio::io_context& io;
    const node::Clock& clock;
    InvariantChecker& checker;
  };
  struct Options {
    std::string node_program;  ///< path of the executable of real nodes
    std::string folder;        ///< for the nodes' configurations and logs
  };

  /// @param experiment must outlive this object
  Fleet(const Environment& environment, const Experiment& experiment, Options options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// The nodes, in the order of their numbers in the checker.
  const std::vector<FleetNode>& nodes() const { return nodes_; }
  const std::vector<ServerTier>& tiers() const { return tiers_; }
  /// The nodes that clients call.
  std::vector<NodeUnderTest*> first_tier_nodes() const;
  /// @return null when no server has that name
  ServerStandIn* server(const std::string& name) const;

  /// Makes every server outside the last tier call the next tier through its own node of that tier. All nodes
  /// must be ready.
  void connect_tiers();
  /// Publishes a server's status through discovery.
  /// @param since_ms Unix time of the server's start in ms; 0: the listed time stays
  void publish_status(const ServerStandIn& server, EndpointStatus status, std::int64_t since_ms);
  /// Partitions a zone from all other zones: data sent between the zone and other zones is lost.
  /// Empty: no partition.
  void set_partitioned_zone(const std::string& zone) { partitioned_zone_ = zone; }

  /// Times from the publication of an endpoint list change until a hollow node's balancer uses it, in s: one
  /// for each change and hollow node.
  const std::vector<double>& propagation_times() const { return propagation_times_; }

 private:
  void add_server_group(const ServerGroupSpec& spec);
  void add_nodes();
  void add_node(const std::string& name, const NodePosition& position, bool is_hollow);
  std::unique_ptr<NodeUnderTest> make_hollow_node(const std::string& name, const std::string& zone,
                                                  std::size_t number);
  ServerTier& tier_of(const ServerStandIn& server);
  const std::string& zone_of(const ServerStandIn& server) const;
  bool is_partitioned(const std::string& zone, const std::string& other_zone) const;
  void publish(ServerTier& tier, const EndpointEntry& entry);
  void on_version_in_force(std::uint64_t version);

  Environment environment_;
  const Experiment& experiment_;
  Options options_;
  std::vector<ServerTier> tiers_;
  std::map<std::string, ServerStandIn*> servers_by_name_;
  std::map<std::uint64_t, double> published_at_;  // by version of the first tier's list
  std::vector<double> propagation_times_;
  std::vector<FleetNode> nodes_;
  std::string partitioned_zone_;
};

}  // namespace nettleyoke::lab
