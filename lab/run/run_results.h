/// @file
/// Collects what a fleet and the lab's own process have used into a report.
#pragma once

#include "report/report.h"
#include "run/fleet.h"

namespace nettleyoke::lab {

/// Lists the fleet's nodes and servers in a report, in the checker's order.
void add_fleet(const Fleet& fleet, Report& report);

/// Takes what a node and its agent have used so far.
void collect_node(const Fleet& fleet, const FleetNode& part, NodeResult& result);

/// Takes what servers have done, the propagation of changes and what the lab's process has used.
void collect_run(const Fleet& fleet, Report& report);

}  // namespace nettleyoke::lab
