/// @file
/// Zone locality: which requests are worth the cross-zone cost of an attempt in the remote zone.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

constexpr double kServiceSeconds = 0.2;     // each server serves one request at a time
constexpr double kCrossZoneSeconds = 0.02;  // round trip to the remote zone
constexpr double kConnectFailsAfterSeconds = 0.2;
constexpr int kLocalServers = 2;
constexpr int kRemoteServers = 4;

// An attempt in flight, ordered by the time at which it ends.
struct PendingAttempt {
  double ends_at = 0;
  std::string id;
  int attempt = 0;
  double started_at = 0;
  Outcome outcome = Outcome::kSucceeded;
  bool operator<(const PendingAttempt& other) const {
    return std::tie(ends_at, id, attempt, started_at, outcome) <
           std::tie(other.ends_at, other.id, other.attempt, other.started_at, other.outcome);
  }
};

// One replica out of five, with servers in a local and a remote zone. Each server has its own queue. While
// the remote zone is cut off, connects to it fail.
struct TwoZones {
  explicit TwoZones(double cross_zone_cost) : replica(settings(cross_zone_cost)) {
    list_local_servers(kLocalServers);
  }

  static Settings settings(double cross_zone_cost) {
    Settings settings = basic_settings();
    settings.replica_count = 5;
    settings.cross_zone_cost = cross_zone_cost;
    return settings;
  }

  // Reports a full list with all remote servers and `count` local ones.
  void list_local_servers(int count) {
    MembershipUpdate update;
    for (int i = kLocalServers - count; i < kLocalServers + kRemoteServers; ++i)
      update.servers.push_back(server(i, i < kLocalServers ? 0 : 1));
    replica.at(replica.now, update);
  }

  // Resets the counts, then sends `burst` requests every `gap` seconds for `seconds`.
  void send_bursts(double seconds, double gap, int burst) {
    local_attempts = remote_attempts = rejected = 0;
    const double from = replica.now;
    for (int n = 0; n * gap < seconds; ++n) {
      run_until(from + n * gap);
      for (int i = 0; i < burst; ++i) execute(replica.request("r" + std::to_string(requests++)));
    }
    run_until(from + seconds);
  }

  void execute(const std::vector<Action>& actions) {
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    for (const StartAttempt& started : actions_of<StartAttempt>(actions)) {
      const int server_number = std::stoi(started.server.substr(1));
      const bool is_remote = server_number >= kLocalServers;
      (is_remote ? remote_attempts : local_attempts) += 1;
      const int attempt = attempt_counts[started.id]++;
      if (is_remote && remote_is_cut_off) {
        pending.insert({replica.now + kConnectFailsAfterSeconds, started.id, attempt, replica.now,
                        Outcome::kConnectFailed});
        continue;
      }
      double& free = free_at[server_number];
      free = std::max(free, replica.now) + kServiceSeconds;
      pending.insert({free + (is_remote ? kCrossZoneSeconds : 0), started.id, attempt, replica.now,
                      Outcome::kSucceeded});
    }
  }

  void run_until(double time) {
    while (!pending.empty() && pending.begin()->ends_at <= time) {
      const PendingAttempt next = *pending.begin();
      pending.erase(pending.begin());
      replica.now = next.ends_at;
      const double elapsed = next.ends_at - next.started_at;
      if (next.outcome == Outcome::kSucceeded) longest_response = std::max(longest_response, elapsed);
      execute(replica.end_attempt(next.id, next.outcome, next.attempt, elapsed));
    }
    replica.now = time;
  }

  // The fraction of the attempts that were sent to the remote zone.
  double remote_fraction() const {
    return static_cast<double>(remote_attempts) / std::max(1, local_attempts + remote_attempts);
  }

  ReplicaUnderTest replica;
  std::set<PendingAttempt> pending;
  std::map<std::string, int> attempt_counts;  // by request
  std::map<int, double> free_at;              // when a server has emptied its queue
  int local_attempts = 0;
  int remote_attempts = 0;
  int rejected = 0;
  int requests = 0;
  double longest_response = 0;
  bool remote_is_cut_off = false;
};

// Bursts that the local zone serves within a third of the latency objective are not worth a cross-zone cost.
TEST(ZoneLocality, RequestsThatTheLocalZoneServesInTimeStayLocal) {
  TwoZones with_cost(0.22);
  TwoZones without_cost(0);
  for (TwoZones* zones : {&with_cost, &without_cost}) {
    zones->send_bursts(20, 0.5, 3);
    zones->send_bursts(60, 0.5, 3);
    EXPECT_EQ(zones->rejected, 0);
  }
  EXPECT_LT(with_cost.remote_fraction(), 0.02);
  EXPECT_GT(without_cost.remote_fraction(), 0.4);
}

// The load is 1.5 times the capacity of the local zone. If the bound on its queues were wider than the bound
// on the tier, the zone would never count as full, and requests that the remote zone could serve would be
// rejected.
TEST(ZoneLocality, OnlyTheExcessLoadOfTheLocalZoneGoesToTheRemoteZone) {
  TwoZones zones(0.22);
  zones.send_bursts(20, 0.2, 3);
  zones.send_bursts(60, 0.2, 3);
  EXPECT_GT(zones.remote_fraction(), 0.25);
  EXPECT_LT(zones.remote_fraction(), 0.45);
  EXPECT_LT(zones.rejected, 18) << "of 900";
  EXPECT_LT(zones.longest_response, 2) << "the latency objective";
}

TEST(ZoneLocality, RequestsGoToTheRemoteZoneOnlyWhileTheLocalZoneHasNoServers) {
  TwoZones zones(0.22);
  zones.send_bursts(20, 0.5, 3);
  zones.list_local_servers(0);
  zones.send_bursts(10, 0.5, 3);
  EXPECT_EQ(zones.local_attempts, 0);
  EXPECT_EQ(zones.remote_attempts, 60);
  EXPECT_EQ(zones.rejected, 0);
  zones.list_local_servers(kLocalServers);
  zones.send_bursts(10, 0.5, 3);
  zones.send_bursts(30, 0.5, 3);
  EXPECT_LT(zones.remote_fraction(), 0.02);
}

// An overloaded zone that is cut off from the remote zone still serves as many requests as it can.
TEST(ZoneLocality, CutOffZoneServesAlmostAsMuchAsBefore) {
  TwoZones zones(0.22);
  zones.send_bursts(20, 0.2, 3);
  zones.send_bursts(10, 0.2, 3);
  const int before = zones.local_attempts;
  zones.remote_is_cut_off = true;
  zones.send_bursts(10, 0.2, 3);
  EXPECT_GT(zones.local_attempts, before * 9 / 10);
  EXPECT_LT(zones.remote_fraction(), 0.5);
}

}  // namespace
}  // namespace nettleyoke
