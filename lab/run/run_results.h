/// @file
/// Collects results and resource usage of a fleet and of the lab's own process into a report.
#pragma once

#include "report/report.h"
#include "run/fleet.h"

namespace nettleyoke::lab {

/// Adds an entry for each node and server of the fleet to a report, in the order of their numbers in the
/// checker.
void add_fleet(const Fleet& fleet, Report& report);

/// Records the resource usage of a node, the traffic of its discovery agent and its list versions so far.
/// @param fleet_node a node of `fleet`
/// @param result the node's entry in the report
void collect_node(const Fleet& fleet, const FleetNode& fleet_node, NodeResult& result);

/// Records the servers' connections and CPU time, the propagation times and the resource usage of the lab's
/// process.
void collect_run(const Fleet& fleet, Report& report);

}  // namespace nettleyoke::lab
