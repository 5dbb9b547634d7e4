#include "run/run_results.h"

#include <sys/resource.h>

namespace nettleyoke::lab {
namespace {

double seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

void collect_own_usage(Report& report) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  report.own_cpu = seconds(usage.ru_utime) + seconds(usage.ru_stime);
  report.own_memory_mb = static_cast<double>(usage.ru_maxrss) / 1e3;  // it is in KB
}

}  // namespace

void add_fleet(const Fleet& fleet, Report& report) {
  for (const ServerTier& tier : fleet.tiers()) {
    for (const auto& server : tier.servers) {
      if (report.servers.size() <= server->number()) report.servers.resize(server->number() + 1);
      report.servers[server->number()].name = server->name();
    }
  }
  for (const FleetNode& part : fleet.nodes()) {
    NodeResult& result = report.nodes.emplace_back();
    result.name = part.name;
    result.kind = part.node->kind();
    result.tier = part.tier;
  }
}

void collect_node(const Fleet& fleet, const FleetNode& part, NodeResult& result) {
  const NodeUnderTest::Usage usage = part.node->usage();
  result.cpu = usage.cpu;
  result.memory_mb = static_cast<double>(usage.memory) / 1e6;
  const DiscoveryAgent::Counters& counters = part.agent->counters();
  result.watch_calls = counters.calls;
  result.full_lists = counters.full_lists;
  result.control_bytes_in = counters.bytes_in;
  result.control_bytes_out = counters.bytes_out;
  result.list_version = part.node->list_version().value_or(part.agent->version());
  result.latest_version = fleet.tiers()[static_cast<std::size_t>(part.tier)].catalog.version();
}

void collect_run(const Fleet& fleet, Report& report) {
  report.propagation_times = fleet.propagation_times();
  collect_own_usage(report);
  for (const ServerTier& tier : fleet.tiers()) {
    for (const auto& server : tier.servers) {
      ServerResult& result = report.servers[server->number()];
      result.connections = server->connections_accepted();
      result.work = server->model().work_done();
    }
  }
}

}  // namespace nettleyoke::lab
