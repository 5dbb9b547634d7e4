/// @file
/// Divides the file descriptors of a node between its parts.
#pragma once

#include <cstddef>

namespace nettleyoke::node {

/// The number of connections that each part may have open. Without the division, clients could take all
/// descriptors, and an accepted request without a descriptor for its attempt could only be rejected.
struct DescriptorBudget {
  std::size_t clients = 0;
  std::size_t rejected_clients = 0;  ///< further clients, which are accepted only to be sent a rejection
  std::size_t upstream = 0;          ///< connections to servers
};

/// @param configured_limit descriptors that the configuration allows the process
/// @return `configured_limit`, or the limit of the operating system if that is lower
[[nodiscard]] std::size_t effective_descriptor_limit(std::size_t configured_limit);

/// @param limit descriptors of the process
/// @param has_admin_server whether to reserve descriptors for the admin server's connections
/// @param shares_listener whether a second process of this node may run at the same time. The two processes
///   together then stay within the limit: clients are spread over both, every other part exists in each.
[[nodiscard]] DescriptorBudget divide_descriptors(std::size_t limit, bool has_admin_server,
                                                  bool shares_listener);

}  // namespace nettleyoke::node
