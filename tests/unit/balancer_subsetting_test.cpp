/// @file
/// The subset of a tier's servers that a replica uses.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

TEST(Subsetting, ServersAreUsedEvenlyOverTheReplicas) {
  for (std::size_t replicas = 1; replicas <= 40; ++replicas) {
    for (std::size_t servers = 1; servers <= 45; servers += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(servers, 0);
        for (std::size_t i = 0; i < replicas; ++i) {
          const auto subset = subset_of(i, replicas, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t position : subset) ++uses[position];
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        // The number of replicas that use a server differs by at most one between servers.
        EXPECT_LE(*most - *least, 1) << replicas << " replicas, " << servers << " servers, size " << size;
      }
    }
  }
}

TEST(Subsetting, RemovalOfOneServerChangesFewOthers) {
  for (const int replicas : {3, 7, 12}) {
    for (int index = 0; index < replicas; ++index) {
      Settings settings = basic_settings();
      settings.replica_index = index;
      settings.replica_count = replicas;
      const auto servers_used = [&](bool is_one_removed) {
        ReplicaUnderTest replica(settings);
        MembershipUpdate update = members(24);
        if (is_one_removed) update.servers.erase(update.servers.begin() + 5);
        replica.at(0, update);
        std::set<std::string> servers;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id)))
            servers.insert(attempt.server);
          replica.end_attempt(id, Outcome::kSucceeded);
        }
        return servers;
      };
      const auto before = servers_used(false);
      const auto after = servers_used(true);
      std::vector<std::string> common;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(common));
      EXPECT_GE(common.size() + 2, before.size());
    }
  }
}

// With a subset of fixed size, a few replicas would leave most servers of a large tier idle.
TEST(Subsetting, FewReplicasTogetherUseEveryServer) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings settings = basic_settings();
    settings.replica_index = index;
    settings.replica_count = 2;
    ReplicaUnderTest replica(settings);
    replica.at(0, members(40));
    for (int i = 0; i < 200; ++i) {
      for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(std::to_string(i))))
        used.insert(attempt.server);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}

}  // namespace
}  // namespace nettleyoke
