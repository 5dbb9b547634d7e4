/// @file
/// Slow start over several replicas and over whole fleets.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// Several replicas, one server that has just started: together they stay within what it can take.
TEST(SlowStart, ReplicasTogetherKeepTheBudgetOfAStartedServer) {
  constexpr int kReplicas = 10;
  constexpr int kServers = 10;
  constexpr double kRate = 20;  // a second a replica; a server's part is 20 a second over all replicas
  Settings settings = basic_settings();
  settings.replica_count = kReplicas;
  settings.initial_capacity = 0.14;
  settings.slow_start_duration = 24;
  std::vector<double> attempts;
  for (int c = 0; c < kReplicas; ++c) {
    settings.replica_index = c;
    ReplicaUnderTest replica(settings, static_cast<std::uint64_t>(c) + 1);
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
        if (attempt.server == "s0" && now >= 110) attempts.push_back(now);
      }
      replica.end_attempt(id, Outcome::kSucceeded);
    }
  }
  const double server_rate = kReplicas * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double capacity = server_rate * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window =
        std::count_if(attempts.begin(), attempts.end(), [t](double at) { return at >= t && at < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * capacity * 2) << "at " << t;
  }
  EXPECT_GT(attempts.size(), 50U) << "a server in slow start must get some work, or it never warms up";
}

TEST(SlowStart, FleetThatHasJustStartedStillServes) {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = 10;
  settings.tenants = {{100.0}};
  ReplicaUnderTest replica(settings);
  MembershipUpdate update = members(4);
  for (Server& one : update.servers) one.started = 99.5;
  replica.at(100, update);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    sent += static_cast<int>(actions_of<StartAttempt>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  EXPECT_GT(sent, 50);
  EXPECT_LT(sent, 400);
}

}  // namespace
}  // namespace nettleyoke
