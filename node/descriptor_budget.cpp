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

DescriptorBudget divide_descriptors(std::size_t limit, bool has_admin_server, bool shares_listener) {
  // For the event loop, discovery, the log, the listener and one spare descriptor.
  constexpr std::size_t kProcessDescriptors = 24;
  constexpr std::size_t kAdminDescriptors = AdminServer::kMaxConnections + 1;
  constexpr std::size_t kClientDivisor = 2;
  constexpr std::size_t kRejectedClientDivisor = 8;
  const std::size_t processes = shares_listener ? 2 : 1;
  const std::size_t reserved = (kProcessDescriptors + (has_admin_server ? kAdminDescriptors : 0)) * processes;
  // If the limit is too low, the parts still get some descriptors, and the node may exceed the limit.
  const std::size_t available = limit > 2 * reserved ? limit - reserved : reserved;
  DescriptorBudget budget;
  budget.clients = available / kClientDivisor;
  budget.rejected_clients = available / kRejectedClientDivisor;
  budget.upstream = (available - budget.clients - budget.rejected_clients) / processes;
  return budget;
}

}  // namespace nettleyoke::node
