/// @file
/// Attempts in a remote zone cost a fee: which are worth it, and which have to be made.
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
constexpr double kCrossZoneSeconds = 0.02;  // to the remote zone and back
constexpr double kConnectFailsAfterSeconds = 0.2;
constexpr int kLocalServers = 2;
constexpr int kRemoteServers = 4;

// An attempt in flight; they end in the order of their members.
struct PendingAttempt {
  double ends_at = 0;
  std::string id;
  int number = 0;
  double started_at = 0;
  Outcome outcome = Outcome::kSucceeded;
  bool operator<(const PendingAttempt& other) const {
    return std::tie(ends_at, id, number, started_at, outcome) <
           std::tie(other.ends_at, other.id, other.number, other.started_at, other.outcome);
  }
};

// One of five replicas, before servers with a queue each. A remote zone that is cut off refuses connections.
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

  void list_local_servers(int count) {
    MembershipUpdate update;
    for (int i = kLocalServers - count; i < kLocalServers + kRemoteServers; ++i)
      update.servers.push_back(server(i, i < kLocalServers ? 0 : 1));
    replica.at(replica.now, update);
  }

  // Sends a burst of requests each `gap` seconds for `seconds`; starts new counts.
  void offer(double seconds, double gap, int burst) {
    local = remote = rejected = 0;
    const double from = replica.now;
    for (int n = 0; n * gap < seconds; ++n) {
      run_until(from + n * gap);
      for (int i = 0; i < burst; ++i) follow(replica.request("r" + std::to_string(requests++)));
    }
    run_until(from + seconds);
  }

  void follow(const std::vector<Action>& actions) {
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    for (const StartAttempt& started : actions_of<StartAttempt>(actions)) {
      const int number = std::stoi(started.server.substr(1));
      const bool is_remote = number >= kLocalServers;
      (is_remote ? remote : local) += 1;
      const int attempt = attempts[started.id]++;
      if (is_remote && remote_is_cut_off) {
        pending.insert({replica.now + kConnectFailsAfterSeconds, started.id, attempt, replica.now,
                        Outcome::kConnectFailed});
        continue;
      }
      double& free = free_at[number];
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
      follow(replica.end_attempt(next.id, next.outcome, next.number, elapsed));
    }
    replica.now = time;
  }

  // The part of the attempts that went to the remote zone.
  double remote_part() const { return static_cast<double>(remote) / std::max(1, local + remote); }

  ReplicaUnderTest replica;
  std::set<PendingAttempt> pending;
  std::map<std::string, int> attempts;
  std::map<int, double> free_at;
  int local = 0;
  int remote = 0;
  int rejected = 0;
  int requests = 0;
  double longest_response = 0;
  bool remote_is_cut_off = false;
};

// No fee is paid for nothing: bursts that the local zone answers within a third of the latency objective.
TEST(ZoneLocality, RequestsThatTheLocalZoneServesInTimeStayLocal) {
  TwoZones priced(0.22);
  TwoZones free(0);
  for (TwoZones* zones : {&priced, &free}) {
    zones->offer(20, 0.5, 3);
    zones->offer(60, 0.5, 3);
    EXPECT_EQ(zones->rejected, 0);
  }
  EXPECT_LT(priced.remote_part(), 0.02);
  EXPECT_GT(free.remote_part(), 0.4);
}

// Under a skew, half as much again as the local zone can do. Where the bound on its queues is wider than that
// on the tier, it never counts as full, and what the remote zone could serve is rejected.
TEST(ZoneLocality, OverloadOfTheLocalZoneSpillsOverAndTheRestStays) {
  TwoZones zones(0.22);
  zones.offer(20, 0.2, 3);
  zones.offer(60, 0.2, 3);
  EXPECT_GT(zones.remote_part(), 0.25);
  EXPECT_LT(zones.remote_part(), 0.45);
  EXPECT_LT(zones.rejected, 18) << "of 900";
  EXPECT_LT(zones.longest_response, 2) << "the latency objective";
}

TEST(ZoneLocality, RequestsOfALostZoneGoRemoteAndReturnAfterwards) {
  TwoZones zones(0.22);
  zones.offer(20, 0.5, 3);
  zones.list_local_servers(0);
  zones.offer(10, 0.5, 3);
  EXPECT_EQ(zones.local, 0);
  EXPECT_EQ(zones.remote, 60);
  EXPECT_EQ(zones.rejected, 0);
  zones.list_local_servers(kLocalServers);
  zones.offer(10, 0.5, 3);
  zones.offer(30, 0.5, 3);
  EXPECT_LT(zones.remote_part(), 0.02);
}

// Cut off from the others, a zone with more requests than it can serve goes on serving what it can.
TEST(ZoneLocality, CutOffZoneServesAsMuchAsBefore) {
  TwoZones zones(0.22);
  zones.offer(20, 0.2, 3);
  zones.offer(10, 0.2, 3);
  const int before = zones.local;
  zones.remote_is_cut_off = true;
  zones.offer(10, 0.2, 3);
  EXPECT_GT(zones.local, before * 9 / 10);
  EXPECT_LT(zones.remote_part(), 0.5);
}

}  // namespace
}  // namespace nettleyoke
