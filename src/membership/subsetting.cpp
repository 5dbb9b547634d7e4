#include "membership/subsetting.h"

#include <algorithm>

#include "nettleyoke/balancer.h"

namespace nettleyoke {
namespace {

// Least size of a subset: enough servers to spread the load over, few enough connections.
constexpr std::size_t kMinSubsetSize = 5;
// Least number of replicas that use each server. With few replicas, subsets are therefore large.
constexpr std::size_t kReplicasPerServer = 2;
// Least number of replicas that use each server that is warming up. With more replicas, differences between
// their traffic even out.
constexpr std::size_t kReplicasPerWarmingServer = 8;

}  // namespace

// The subsets start at evenly spaced positions of a ring. For any two servers, the numbers of replicas that
// use them differ by one at most, and the removal of a server moves each start by one position at most.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count,
                                   std::size_t server_count, std::size_t size) {
  std::vector<std::size_t> positions;
  if (server_count == 0 || replica_count == 0) return positions;
  const std::size_t start = replica_index * server_count / replica_count;
  const std::size_t count = std::min(size, server_count);
  positions.reserve(count);
  for (std::size_t i = 0; i < count; ++i) positions.push_back((start + i) % server_count);
  return positions;
}

void Subset::configure(const Settings& settings) {
  replica_index_ = static_cast<std::size_t>(settings.replica_index);
  replica_count_ = static_cast<std::size_t>(settings.replica_count);
  locality_ = Locality::of(settings);
}

// The size grows when replicas are few: with a fixed size, some servers would be used by no replica.
std::vector<std::size_t> Subset::own_subset(const std::vector<std::size_t>& servers,
                                            std::size_t replicas_per_server) const {
  const std::size_t size =
      std::max(kMinSubsetSize, (replicas_per_server * servers.size() + replica_count_ - 1) / replica_count_);
  std::vector<std::size_t> subset = subset_of(replica_index_, replica_count_, servers.size(), size);
  for (std::size_t& position : subset) position = servers[position];
  return subset;
}

void Subset::collect_available(ServerRegistry& registry, Weights& weights) {
  all_.clear();
  for (std::size_t index = 0; index < registry.index_count(); ++index) {
    ServerRecord& record = registry[index];
    if (!record.accepts_attempts()) continue;
    all_.push_back(index);
    record.slow_start.set_traffic_share(0);
    record.is_subset_extra = false;
    weights.all += record.advertised.weight;
  }
  std::sort(all_.begin(), all_.end(), [&](std::size_t left, std::size_t right) {
    return registry[left].sort_key < registry[right].sort_key;
  });
}

// The traffic share of a local member is relative to the local members, because this replica spreads its
// traffic over them. Relative to a large fleet, a server that is warming up would get almost nothing. Servers
// outside the subset have no share: if all replicas fell back to such a server, the sum of their shares would
// overload it.
void Subset::rebuild(ServerRegistry& registry) {
  Weights weights;
  collect_available(registry, weights);
  const auto first_remote = std::stable_partition(all_.begin(), all_.end(), [&](std::size_t index) {
    return !locality_.is_remote(registry[index].advertised);
  });
  const std::vector<std::size_t> local(all_.begin(), first_remote);
  members_ = own_subset(local, kReplicasPerWarmingServer);
  const std::vector<std::size_t> regular = own_subset(local, kReplicasPerServer);
  const std::vector<std::size_t> remote = own_subset({first_remote, all_.end()}, kReplicasPerServer);

  for (const std::size_t index : members_) weights.local_members += registry[index].advertised.weight;
  for (const std::size_t index : members_) {
    ServerRecord& record = registry[index];
    record.slow_start.set_traffic_share(record.advertised.weight / weights.local_members);
    record.is_subset_extra = true;
  }
  for (const std::size_t index : remote) {
    ServerRecord& record = registry[index];
    record.slow_start.set_traffic_share(record.advertised.weight / weights.all);
  }
  for (const std::size_t index : regular) registry[index].is_subset_extra = false;

  members_.insert(members_.end(), remote.begin(), remote.end());
  regular_size_ = regular.size() + remote.size();
  shape_.members = static_cast<double>(regular_size_);
  shape_.replicas_per_server =
      std::max(1.0, static_cast<double>(replica_count_) * shape_.members / static_cast<double>(all_.size()));
}

}  // namespace nettleyoke
