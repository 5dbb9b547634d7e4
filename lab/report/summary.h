/// @file
/// Aggregates calls and attempts for a report.
#pragma once

#include <vector>

#include "checks/invariant_checker.h"
#include "report/report.h"

namespace nettleyoke::lab {

/// Adds the calls, attempts and violations recorded by the checker to a report. The report's nodes and
/// servers must be in the order of their numbers in the checker.
/// @param first_call time of the first call on the lab's clock, in s
void add_calls(const InvariantChecker& checker, double first_call, Report& report);

/// Aggregates the nodes of each kind and tier into a group: counters are summed, and quantiles cover the
/// calls of all nodes of the group.
[[nodiscard]] std::vector<NodeResult> groups_of(const Report& report);

}  // namespace nettleyoke::lab
