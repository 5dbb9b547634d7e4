/// @file
/// All that takes part in a run beside the load: servers, discovery's agents and nodes. It sets them up and
/// knows where they stand; it decides nothing about when what happens.
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

/// The servers of a tier and what discovery holds of them.
struct ServerTier {
  EndpointCatalog catalog;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  std::vector<std::string> zones;  ///< of the servers
};

/// A node with its agent.
struct FleetNode {
  std::string name;
  int tier = 0;
  std::unique_ptr<DiscoveryAgent> agent;
  std::unique_ptr<NodeUnderTest> node;
  RealNode* real = nullptr;  ///< the same node, if it is a real one
  std::string config;
};

class Fleet {
 public:
  /// What the fleet runs on. All of it outlives the fleet.
  struct Environment {
    boost::asio::io_context& io;
    const node::Clock& clock;
    InvariantChecker& checker;
  };
  struct Options {
    std::string program;  ///< of real nodes
    std::string folder;   ///< for the nodes' files
  };

  /// @param experiment outlives this
  Fleet(const Environment& environment, const Experiment& experiment, Options options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// In the checker's order.
  const std::vector<FleetNode>& nodes() const { return nodes_; }
  const std::vector<ServerTier>& tiers() const { return tiers_; }
  std::vector<NodeUnderTest*> first_tier_nodes() const;
  /// Null where no server has that name.
  ServerStandIn* server(const std::string& name) const;

  /// Lets servers call the next tier through the nodes beside them, which are ready.
  void connect_tiers();
  /// Discovery gets a new state of a server.
  /// @param since_ms Unix time of its start in ms; 0: as it was listed
  void announce(const ServerStandIn& server, EndpointStatus status, std::int64_t since_ms);
  /// Cuts a zone off from the rest: what nodes send across is lost. Empty: no zone.
  void set_partitioned_zone(const std::string& zone) { partitioned_zone_ = zone; }

  /// From when discovery had a change until a hollow node's balancer had it, in s, over all changes and
  /// nodes.
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
