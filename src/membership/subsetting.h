/// @file
/// Subsetting: which servers a replica sends to.
#pragma once

#include <cstddef>
#include <vector>

#include "capacity/concurrency_limits.h"
#include "membership/locality.h"
#include "membership/server_registry.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The subset of servers that a replica sends to. It is derived from the replica's index and the replica
/// count, so that all replicas together cover the tier evenly. A server that is warming up is an extra member
/// of more subsets, because many replicas even out differences between their traffic. Owns lists of indices;
/// the servers belong to the registry.
class Subset {
 public:
  /// Applies new settings; rebuild must be called afterwards.
  void configure(const Settings& settings);

  /// Rebuilds the subset. Sets each server's share of this replica's traffic and whether it is an extra
  /// member.
  void rebuild(ServerRegistry& registry);

  /// The subset with its extra members, servers of the local zone first.
  [[nodiscard]] const std::vector<std::size_t>& members() const { return members_; }
  /// All servers that accept attempts, servers of the local zone first.
  [[nodiscard]] const std::vector<std::size_t>& all() const { return all_; }
  /// Size of the subset without extra members.
  [[nodiscard]] std::size_t regular_size() const { return regular_size_; }
  [[nodiscard]] const SubsetShape& shape() const { return shape_; }

 private:
  struct Weights {
    double all = 0;
    double local_members = 0;
  };

  void collect_available(ServerRegistry& registry, Weights& weights);
  [[nodiscard]] std::vector<std::size_t> own_subset(const std::vector<std::size_t>& servers,
                                                    std::size_t replicas_per_server) const;

  std::size_t replica_index_ = 0;
  std::size_t replica_count_ = 1;
  Locality locality_;
  std::vector<std::size_t> all_;
  std::vector<std::size_t> members_;
  std::size_t regular_size_ = 0;
  SubsetShape shape_;
};

}  // namespace nettleyoke
