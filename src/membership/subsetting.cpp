#include "membership/subsetting.h"

#include <algorithm>

#include "nettleyoke/balancer.h"

namespace nettleyoke {
namespace {

// Servers in a subset at least: enough spread, few connections.
constexpr std::size_t kMinServers = 5;
// Replicas that use each server at least: few replicas have large subsets.
constexpr std::size_t kReplicasPerServer = 2;
// The same of a server that is warming up, with extra members: uneven replicas even out.
constexpr std::size_t kReplicasPerWarmingServer = 8;

}  // namespace

// Evenly spaced starts on a ring: any two servers differ by at most one in how many replicas use them, and a
// server that leaves moves each start by one place at most.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> positions;
  if (servers == 0 || replica_count == 0) return positions;
  const std::size_t start = replica_index * servers / replica_count;
  const std::size_t count = std::min(size, servers);
  positions.reserve(count);
  for (std::size_t i = 0; i < count; ++i) positions.push_back((start + i) % servers);
  return positions;
}

void Subset::configure(const Settings& settings) {
  replica_index_ = static_cast<std::size_t>(settings.replica_index);
  replica_count_ = static_cast<std::size_t>(settings.replica_count);
  locality_ = Locality::of(settings);
}

// A subset of fixed size would leave servers without any replica where replicas are few.
std::vector<std::size_t> Subset::own_part(const std::vector<std::size_t>& servers,
                                          std::size_t replicas_per_server) const {
  const std::size_t size =
      std::max(kMinServers, (replicas_per_server * servers.size() + replica_count_ - 1) / replica_count_);
  std::vector<std::size_t> part = subset_of(replica_index_, replica_count_, servers.size(), size);
  for (std::size_t& position : part) position = servers[position];
  return part;
}

void Subset::collect(ServerRegistry& registry, Weights& weights) {
  all_.clear();
  for (std::size_t index = 0; index < registry.index_count(); ++index) {
    ServerRecord& record = registry[index];
    if (!record.may_get_calls()) continue;
    all_.push_back(index);
    record.slow_start.set_traffic_share(0);
    record.is_subset_extra = false;
    weights.all += record.advertised.weight;
  }
  std::sort(all_.begin(), all_.end(), [&](std::size_t left, std::size_t right) {
    return registry[left].order < registry[right].order;
  });
}

// A share of all servers' traffic, spent at the few servers of a subset, would leave one that is warming up
// in a large fleet with next to nothing: local members share the subset's traffic. Servers beyond the subset
// have no share: with all replicas standing in, the sum would be too much.
void Subset::rebuild(ServerRegistry& registry) {
  Weights weights;
  collect(registry, weights);
  const auto first_remote = std::stable_partition(all_.begin(), all_.end(), [&](std::size_t index) {
    return !locality_.is_remote(registry[index].advertised);
  });
  const std::vector<std::size_t> local(all_.begin(), first_remote);
  members_ = own_part(local, kReplicasPerWarmingServer);
  const std::vector<std::size_t> regular = own_part(local, kReplicasPerServer);
  const std::vector<std::size_t> remote = own_part({first_remote, all_.end()}, kReplicasPerServer);

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
