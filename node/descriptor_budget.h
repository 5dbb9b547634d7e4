/// How a node's descriptors are divided between its parts.
#pragma once

#include <cstddef>

namespace nettleyoke::node {

/// Connections that each part may have open. A request that was accepted and has no descriptor left for its
/// attempt could only be rejected; hence the division.
struct DescriptorBudget {
  std::size_t clients = 0;
  std::size_t overflow = 0;  ///< of clients beyond those, to be turned down
  std::size_t upstream = 0;
};

/// @param configured_limit descriptors that the process may hold, by its configuration.
/// @return the same, or what the system allows where that is less.
[[nodiscard]] std::size_t effective_descriptor_limit(std::size_t configured_limit);

/// @param serves_operators whether descriptors are reserved for operators' connections.
/// @param shares_listener whether another process of this node may run beside this one. Both together stay
/// within the limit then: clients are spread between them, all else each has for itself.
[[nodiscard]] DescriptorBudget divide_descriptors(std::size_t limit, bool serves_operators,
                                                  bool shares_listener);

}  // namespace nettleyoke::node
