/// @file
/// Sums up calls and attempts for a report.
#pragma once

#include <vector>

#include "checks/invariant_checker.h"
#include "report/report.h"

namespace nettleyoke::lab {

/// Takes over what the checker has recorded: into the report's nodes and servers, which are in its order.
/// @param first_call when calls began, on the lab's clock
void add_calls(const InvariantChecker& checker, double first_call, Report& report);

/// The nodes of one kind and tier taken together: sums, and quantiles over all their calls.
[[nodiscard]] std::vector<NodeResult> groups_of(const Report& report);

}  // namespace nettleyoke::lab
