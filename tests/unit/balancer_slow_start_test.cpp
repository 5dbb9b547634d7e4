/// @file
/// Slow start of one server behind several replicas, and of a whole fleet.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// All replicas together must not send more to a server that has just started than its capacity allows.
TEST(SlowStart, ReplicasTogetherStayWithinTheCapacityOfAStartedServer) {
  constexpr int kReplicas = 10;
  constexpr int kServers = 10;
  // Requests/s per replica. Each server gets 20 requests/s too, the sum over all replicas.
  constexpr double kRate = 20;
  Settings settings = basic_settings();
  settings.replica_count = kReplicas;
  settings.initial_capacity = 0.14;
  settings.slow_start_duration = 24;
  std::vector<double> attempt_times;
  for (int index = 0; index < kReplicas; ++index) {
    settings.replica_index = index;
    ReplicaUnderTest replica(settings, static_cast<std::uint64_t>(index) + 1);
    replica.at(100, members(kServers));
    for (int i = 0; i < static_cast<int>(40 * kRate); ++i) {
      const double now = 100 + i / kRate;
      if (i == static_cast<int>(10 * kRate)) {
        MembershipUpdate restart;
        restart.form = MembershipUpdate::Form::kChanges;
        restart.servers = {server(0)};
        restart.servers[0].started = 109;
        replica.at(now, restart);
      }
      replica.now = now;
      const std::string id = std::to_string(i);
      for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id))) {
        if (attempt.server == "s0" && now >= 110) attempt_times.push_back(now);
      }
      replica.end_attempt(id, Outcome::kSucceeded);
    }
  }
  const double server_rate = kReplicas * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double capacity = server_rate * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window = std::count_if(attempt_times.begin(), attempt_times.end(),
                                         [t](double time) { return time >= t && time < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * capacity * 2) << "at " << t;
  }
  EXPECT_GT(attempt_times.size(), 50U) << "a server in slow start needs some requests to warm up";
}

TEST(SlowStart, FleetThatHasJustStartedServesRequests) {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = 10;
  settings.tenants = {{100.0}};
  ReplicaUnderTest replica(settings);
  MembershipUpdate update = members(4);
  for (Server& server : update.servers) server.started = 99.5;
  replica.at(100, update);
  int attempts = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    attempts += static_cast<int>(actions_of<StartAttempt>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  EXPECT_GT(attempts, 50);
  EXPECT_LT(attempts, 400);
}

}  // namespace
}  // namespace nettleyoke
