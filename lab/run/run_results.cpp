#include "run/run_results.h"

#include <sys/resource.h>

namespace nettleyoke::lab {
namespace {

double to_seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

void collect_lab_usage(Report& report) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  report.lab_cpu = to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
  report.lab_memory_mb = static_cast<double>(usage.ru_maxrss) / 1e3;  // ru_maxrss is in KB
}

}  // namespace

void add_fleet(const Fleet& fleet, Report& report) {
  for (const ServerTier& tier : fleet.tiers()) {
    for (const auto& server : tier.servers) {
      if (report.servers.size() <= server->number()) report.servers.resize(server->number() + 1);
      report.servers[server->number()].name = server->name();
    }
  }
  for (const FleetNode& fleet_node : fleet.nodes()) {
    NodeResult& result = report.nodes.emplace_back();
    result.name = fleet_node.name;
    result.kind = fleet_node.node->kind();
    result.tier = fleet_node.tier;
  }
}

void collect_node(const Fleet& fleet, const FleetNode& fleet_node, NodeResult& result) {
  const NodeUnderTest::Usage usage = fleet_node.node->usage();
  result.cpu = usage.cpu;
  result.memory_mb = static_cast<double>(usage.memory) / 1e6;
  const DiscoveryAgent::Counters& counters = fleet_node.agent->counters();
  result.watch_calls = counters.calls;
  result.full_lists = counters.full_lists;
  result.control_bytes_in = counters.bytes_in;
  result.control_bytes_out = counters.bytes_out;
  result.list_version = fleet_node.node->list_version().value_or(fleet_node.agent->version());
  result.latest_version = fleet.tiers()[static_cast<std::size_t>(fleet_node.tier)].catalog.version();
}

void collect_run(const Fleet& fleet, Report& report) {
  report.propagation_times = fleet.propagation_times();
  collect_lab_usage(report);
  for (const ServerTier& tier : fleet.tiers()) {
    for (const auto& server : tier.servers) {
      ServerResult& result = report.servers[server->number()];
      result.connections = server->connections_accepted();
      result.work = server->model().work_done();
    }
  }
}

}  // namespace nettleyoke::lab
