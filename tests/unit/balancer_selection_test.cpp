/// @file
/// Selection among the eligible endpoints.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

TEST(EndpointSelection, PrefersTheServerWithFewerRequestsInFlight) {
  Settings settings = basic_settings();
  ReplicaUnderTest replica(settings);
  replica.at(0, members(2));
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 10; ++i) {
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(std::to_string(i))))
      ++in_flight[attempt.server];
  }
  EXPECT_EQ(in_flight["s0"], 5);
  EXPECT_EQ(in_flight["s1"], 5);
}

// With about one request in flight per replica, all servers have equally many requests in flight. If only
// these counted, a slow server would keep its full share.
TEST(EndpointSelection, SlowServerIsAvoidedWithoutRequestsInFlight) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.1;
    const std::string id = std::to_string(i);
    for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id))) {
      if (i >= 100) ++used[attempt.server];
      replica.end_attempt(id, Outcome::kSucceeded, 0, attempt.server == "s1" ? 0.9 : 0.3);
    }
  }
  EXPECT_LT(used["s1"], used["s0"] / 2);
  EXPECT_GT(used["s1"], 0) << "enough requests to observe its recovery";
}

// A server that has stopped responding looks like the others until its first attempt times out.
TEST(EndpointSelection, AgeOfARequestInFlightCountsAgainstItsServer) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ReplicaUnderTest replica(basic_settings(), seed);
    replica.at(0, members(2));
    for (int i = 0; i < 40; ++i) {
      replica.now = i * 0.1;
      replica.request(std::to_string(i));
      replica.end_attempt(std::to_string(i), Outcome::kSucceeded, 0, 0.2);
    }
    const std::string silent = actions_of<StartAttempt>(replica.request("old"))[0].server;
    replica.now += 1;  // five times the usual response time
    for (int i = 0; i < 3; ++i) {
      EXPECT_NE(actions_of<StartAttempt>(replica.request("new" + std::to_string(i)))[0].server, silent)
          << "several new requests weigh less than one old request";
    }
  }
}

// If requests never left an overloaded zone, they would queue there while the servers of the other zone are
// idle.
TEST(EndpointSelection, OverloadedLocalZoneSpillsOverAndAnIdleOneDoesNot) {
  const auto remote_attempts = [](double local_response_time, double cross_zone_cost = 0.01) {
    Settings settings = basic_settings();
    settings.cross_zone_cost = cross_zone_cost;
    ReplicaUnderTest replica(settings);
    MembershipUpdate update;
    for (int i = 0; i < 8; ++i) update.servers.push_back(server(i, i % 2));
    replica.at(0, update);
    int remote = 0;
    std::multimap<int, std::pair<std::string, double>> ends;  // by step: the request and its response time
    for (int i = 0; i < 600; ++i) {
      replica.now = i * 0.05;
      for (auto it = ends.begin(); it != ends.end() && it->first <= i; it = ends.erase(it)) {
        replica.end_attempt(it->second.first, Outcome::kSucceeded, 0, it->second.second);
      }
      const std::string id = std::to_string(i);
      for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(id))) {
        const bool is_local = (attempt.server.back() - '0') % 2 == 0;
        const double response_time = is_local ? local_response_time : 0.1;
        remote += is_local ? 0 : 1;
        ends.insert({i + static_cast<int>(response_time / 0.05), {id, response_time}});
      }
    }
    return remote;
  };
  EXPECT_LT(remote_attempts(0.05), 30);
  EXPECT_GT(remote_attempts(1.0), 120);
  EXPECT_LT(remote_attempts(0.2, 0.04), remote_attempts(0.2, 0.001) / 2)
      << "a higher cost must keep more requests local";
}

TEST(EndpointSelection, SameSeedAndEventsGiveTheSameActions) {
  const auto run = [] {
    ReplicaUnderTest replica(basic_settings(), 99);
    replica.at(5, members(12));
    std::string out;
    for (int i = 0; i < 200; ++i) {
      for (const StartAttempt& attempt : actions_of<StartAttempt>(replica.request(std::to_string(i))))
        out += attempt.server + " ";
    }
    return out;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace nettleyoke
