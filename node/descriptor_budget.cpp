#include "descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

#include "admin/admin_server.h"

namespace nettleyoke::node {

std::size_t effective_descriptor_limit(std::size_t configured_limit) {
  rlimit system_limit{};
  if (getrlimit(RLIMIT_NOFILE, &system_limit) != 0 || system_limit.rlim_cur == RLIM_INFINITY) {
    return configured_limit;
  }
  return std::min<std::size_t>(configured_limit, system_limit.rlim_cur);
}

DescriptorBudget divide_descriptors(std::size_t limit, bool serves_operators, bool shares_listener) {
  // The event loop's own, discovery, the log, the listener and a reserved descriptor.
  constexpr std::size_t kProcessDescriptors = 24;
  constexpr std::size_t kOperatorDescriptors = AdminServer::kMaxConnections + 1;
  constexpr std::size_t kClientDivisor = 2;
  constexpr std::size_t kOverflowDivisor = 8;
  const std::size_t processes = shares_listener ? 2 : 1;
  const std::size_t reserved =
      (kProcessDescriptors + (serves_operators ? kOperatorDescriptors : 0)) * processes;
  const std::size_t available = limit > 2 * reserved ? limit - reserved : reserved;
  DescriptorBudget budget;
  budget.clients = available / kClientDivisor;
  budget.overflow = available / kOverflowDivisor;
  budget.upstream = (available - budget.clients - budget.overflow) / processes;
  return budget;
}

}  // namespace nettleyoke::node
