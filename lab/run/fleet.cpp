#include "run/fleet.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "nodes/hollow_node.h"

namespace nettleyoke::lab {
namespace {

std::size_t to_index(int number) { return static_cast<std::size_t>(number); }

const std::string& round_robin(const std::vector<std::string>& zones, int number) {
  return zones[to_index(number) % zones.size()];
}

}  // namespace

Fleet::Fleet(const Environment& environment, const Experiment& experiment, Options options)
    : environment_(environment),
      experiment_(experiment),
      options_(std::move(options)),
      tiers_(to_index(experiment.tier_count())) {
  for (const ServerGroupSpec& spec : experiment.servers) add_server_group(spec);
  add_nodes();
}

void Fleet::add_server_group(const ServerGroupSpec& spec) {
  ServerTier& tier = tiers_[to_index(spec.tier)];
  const std::vector<std::string> names = experiment_.server_names(spec.tier);
  ServerModel::Parameters parameters;
  parameters.cores = spec.cores;
  parameters.slots = spec.slots;
  parameters.queue_limit = spec.queue_limit;
  parameters.initial_capacity = experiment_.settings.initial_capacity;
  parameters.slow_start_duration = experiment_.settings.slow_start_duration;
  const ServerStandIn::Limits limits{to_index(spec.connection_limit), spec.idle_timeout};
  for (int i = 0; i < spec.count; ++i) {
    const std::string& name = names[tier.servers.size()];
    const std::string& zone = round_robin(spec.zones, i);
    tier.servers.push_back(std::make_unique<ServerStandIn>(environment_.io, environment_.clock,
                                                           environment_.checker, name, parameters, limits,
                                                           experiment_.classes, experiment_.seed));
    tier.zones.push_back(zone);
    ServerStandIn& server = *tier.servers.back();
    servers_by_name_[name] = &server;
    server.set_is_partitioned(
        [this, zone](std::size_t node) { return is_partitioned(nodes_[node].node->zone(), zone); });
    tier.catalog.set({name, server.address(), zone, EndpointStatus::kUp, 0});
  }
}

// Adds the nodes of the first tier. For each further tier, adds one node for every server of the previous
// tier: the server calls the further tier through that node.
void Fleet::add_nodes() {
  const NodesSpec& spec = experiment_.nodes;
  for (int i = 0; i < spec.real_count; ++i) {
    add_node("n" + std::to_string(i), {0, round_robin(spec.zones, i), i, spec.count()}, false);
  }
  for (int i = 0; i < spec.hollow_count; ++i) {
    add_node("h" + std::to_string(i), {0, round_robin(spec.zones, i), spec.real_count + i, spec.count()},
             true);
  }
  for (int tier = 1; tier < experiment_.tier_count(); ++tier) {
    const std::vector<std::string>& zones = tiers_[to_index(tier) - 1].zones;
    const int count = static_cast<int>(zones.size());
    for (int i = 0; i < count; ++i) {
      add_node("t" + std::to_string(tier) + "-n" + std::to_string(i), {tier, zones[to_index(i)], i, count},
               false);
    }
  }
}

void Fleet::add_node(const std::string& name, const NodePosition& position, bool is_hollow) {
  FleetNode fleet_node;
  fleet_node.name = name;
  fleet_node.tier = position.tier;
  const std::size_t number = environment_.checker.add_node(name);
  const EndpointCatalog& catalog = tiers_[to_index(position.tier)].catalog;
  const auto notification = experiment_.settings.must_watch ? DiscoveryAgent::Notification::kWhileWatching
                                                            : DiscoveryAgent::Notification::kImmediate;
  fleet_node.agent = std::make_unique<DiscoveryAgent>(environment_.io, environment_.clock,
                                                      environment_.checker, number, notification);
  fleet_node.agent->publish(catalog);
  if (is_hollow) {
    fleet_node.node = make_hollow_node(name, position.zone, number);
  } else {
    auto real = std::make_unique<RealNode>(
        environment_.io, environment_.checker,
        RealNode::Options{options_.node_program, options_.folder, name, position.zone, number,
                          to_index(experiment_.nodes.descriptors)});
    fleet_node.real = real.get();
    fleet_node.node = std::move(real);
  }
  std::ostringstream agent_address;
  agent_address << fleet_node.agent->endpoint();
  fleet_node.config =
      node_config_json(experiment_, position, {name, agent_address.str(), catalog.full_list()});
  nodes_.push_back(std::move(fleet_node));
}

std::unique_ptr<NodeUnderTest> Fleet::make_hollow_node(const std::string& name, const std::string& zone,
                                                       std::size_t number) {
  return std::make_unique<HollowNode>(
      environment_.io, environment_.clock, HollowNode::Options{options_.folder, name, zone, number},
      [this](const std::string& server_name) { return server(server_name); },
      [this](std::uint64_t version) { on_version_in_force(version); });
}

std::vector<NodeUnderTest*> Fleet::first_tier_nodes() const {
  std::vector<NodeUnderTest*> nodes;
  for (const FleetNode& fleet_node : nodes_) {
    if (fleet_node.tier == 0) nodes.push_back(fleet_node.node.get());
  }
  return nodes;
}

ServerStandIn* Fleet::server(const std::string& name) const {
  const auto found = servers_by_name_.find(name);
  return found == servers_by_name_.end() ? nullptr : found->second;
}

void Fleet::connect_tiers() {
  std::size_t node = first_tier_nodes().size();
  for (std::size_t tier = 0; tier + 1 < tiers_.size(); ++tier) {
    for (const auto& server : tiers_[tier].servers) {
      server->set_next_tier({&nodes_[node].real->client(), node});
      ++node;
    }
  }
}

ServerTier& Fleet::tier_of(const ServerStandIn& server) {
  const auto has_server = [&server](const ServerTier& tier) {
    return std::any_of(tier.servers.begin(), tier.servers.end(),
                       [&server](const auto& each) { return each.get() == &server; });
  };
  const auto found = std::find_if(tiers_.begin(), tiers_.end(), has_server);
  if (found == tiers_.end()) throw std::logic_error("the server belongs to no tier of the fleet");
  return *found;
}

const std::string& Fleet::zone_of(const ServerStandIn& server) const {
  for (const ServerTier& tier : tiers_) {
    for (std::size_t i = 0; i < tier.servers.size(); ++i) {
      if (tier.servers[i].get() == &server) return tier.zones[i];
    }
  }
  throw std::logic_error("the server belongs to no tier of the fleet");
}

bool Fleet::is_partitioned(const std::string& zone, const std::string& other_zone) const {
  return !partitioned_zone_.empty() && (zone == partitioned_zone_) != (other_zone == partitioned_zone_);
}

void Fleet::publish_status(const ServerStandIn& server, EndpointStatus status, std::int64_t since_ms) {
  ServerTier& tier = tier_of(server);
  const auto listed = tier.catalog.entries().find(server.name());
  const bool is_listed = listed != tier.catalog.entries().end();
  EndpointEntry entry{server.name(), "", zone_of(server), status, since_ms};
  if (is_listed && since_ms == 0) entry.since_ms = listed->second.since_ms;
  // A server that is down has no address; its entry keeps the address listed last.
  if (server.is_up()) {
    entry.address = server.address();
  } else if (is_listed) {
    entry.address = listed->second.address;
  } else {
    return;
  }
  publish(tier, entry);
}

void Fleet::publish(ServerTier& tier, const EndpointEntry& entry) {
  tier.catalog.set(entry);
  if (&tier == &tiers_.front()) published_at_[tier.catalog.version()] = environment_.clock.now();
  for (FleetNode& fleet_node : nodes_) {
    if (&tiers_[to_index(fleet_node.tier)] == &tier) fleet_node.agent->publish(tier.catalog);
  }
}

// Only called for hollow nodes, which are all in the first tier. The version in the initial endpoint list has
// no publication time.
void Fleet::on_version_in_force(std::uint64_t version) {
  const auto published = published_at_.find(version);
  if (published == published_at_.end()) return;
  propagation_times_.push_back(environment_.clock.now() - published->second);
}

}  // namespace nettleyoke::lab
