/// @file
/// Which servers a replica sends to.
#pragma once

#include <cstddef>
#include <vector>

#include "capacity/concurrency_limits.h"
#include "membership/locality.h"
#include "membership/server_registry.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The subset of servers that a replica sends to, derived from its index and the replica count, so that all
/// replicas together cover the tier evenly. While servers warm up the subset has extra members, because many
/// replicas even out what each sends to them. Owns lists of indices; the servers belong to the registry.
class Subset {
 public:
  /// Takes over other settings; rebuild has to follow.
  void configure(const Settings& settings);

  /// Builds the subset anew. Sets each server's share of this replica's traffic and whether it is an extra
  /// member.
  void rebuild(ServerRegistry& registry);

  /// The subset, with extra members, servers of the local zone first.
  [[nodiscard]] const std::vector<std::size_t>& members() const { return members_; }
  /// All servers that may get calls, servers of the local zone first.
  [[nodiscard]] const std::vector<std::size_t>& all() const { return all_; }
  /// Size of the subset without extra members.
  [[nodiscard]] std::size_t regular_size() const { return regular_size_; }
  [[nodiscard]] const SubsetShape& shape() const { return shape_; }

 private:
  struct Weights {
    double all = 0;
    double local_members = 0;
  };

  void collect(ServerRegistry& registry, Weights& weights);
  [[nodiscard]] std::vector<std::size_t> own_part(const std::vector<std::size_t>& servers,
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
