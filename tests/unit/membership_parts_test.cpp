/// @file
/// Unit tests of membership and selection: server registry, subset, watch backoff, endpoint selector.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer_harness.h"
#include "membership/server_registry.h"
#include "membership/subsetting.h"
#include "membership/watch_backoff.h"
#include "selection/endpoint_selector.h"

namespace nettleyoke {
namespace {

TEST(ServerRegistry, ARemovedServerKeepsItsIndexWhileARequestRefersToIt) {
  ServerRegistry registry;
  RandomSource random(1);
  registry.update(100, members(2), random);
  registry.add_reference(1);
  registry.update(101, members(1), random);
  EXPECT_EQ(registry.tracked_count(), 2U);
  EXPECT_FALSE(registry[1].accepts_attempts());
  registry.release_reference(1);
  EXPECT_EQ(registry.tracked_count(), 1U);
  registry.update(102, {MembershipUpdate::Form::kChanges, {server(7)}}, random);
  EXPECT_EQ(registry.index_count(), 2U) << "the free index is reused";
  EXPECT_EQ(registry[1].advertised.address, "s7");
}

TEST(ServerRegistry, AServerDisabledBeforeItIsListedGetsNoAttempts) {
  ServerRegistry registry;
  RandomSource random(1);
  EXPECT_FALSE(registry.set_admin_state(99, {"s0", false}, random)) << "not listed yet";
  registry.update(100, members(2), random);
  EXPECT_FALSE(registry[0].accepts_attempts());
  EXPECT_EQ(registry.unavailable_count(100), 1U);
  EXPECT_TRUE(registry.set_admin_state(101, {"s0", true}, random));
  EXPECT_TRUE(registry[0].accepts_attempts());
  EXPECT_FALSE(registry.set_admin_state(102, {"s0", true}, random)) << "already enabled";
}

TEST(ServerRegistry, ARestartResetsTheOutlierStateButNotTheAttemptsInFlight) {
  ServerRegistry registry;
  RandomSource random(1);
  MembershipUpdate update = members(1);
  registry.update(100, update, random);
  for (int i = 0; i < 3; ++i) registry[0].outlier.record(100, false);
  registry[0].in_flight.add(100);
  registry.update(101, update, random);
  EXPECT_TRUE(registry[0].outlier.is_ejected(101)) << "the same process";
  update.servers[0].started = 101;
  registry.update(102, update, random);
  EXPECT_FALSE(registry[0].outlier.is_ejected(102));
  EXPECT_EQ(registry[0].in_flight.count(), 1);
}

// The parts of one replica that pick a server for an attempt.
struct SelectionParts {
  explicit SelectionParts(const Settings& settings, const MembershipUpdate& update) {
    registry.update(100, update, random);
    subset.configure(settings);
    subset.rebuild(registry);
    slow_start.configure(settings);
    tier_limit.configure(settings);
    tier_limit.record_membership_update(100);
    selector.configure(settings);
    RequestClassTable classes;
    classes.replace(settings);
    request.request_class = classes.at(0);
  }
  // How often each server is picked in `count` picks, by server index.
  std::vector<int> pick_counts(int count) {
    std::vector<int> counts(registry.index_count());
    for (int i = 0; i < count; ++i) ++counts.at(selector.pick_endpoint(100, request).value());
    return counts;
  }

  RandomSource random{1};
  ServerRegistry registry;
  Subset subset;
  SlowStartPolicy slow_start;
  TierConcurrencyLimit tier_limit;
  EndpointSelector selector{registry, subset, tier_limit, slow_start, random};
  RequestState request;
};

TEST(Subset, HasExtraMembersBesidesTheRegularOnes) {
  Settings settings = basic_settings();
  settings.replica_count = 20;
  const SelectionParts replica(settings, members(40));
  EXPECT_EQ(replica.subset.regular_size(), 5U);
  EXPECT_EQ(replica.subset.members().size(), 16U) << "8 replicas for each server";
  const auto extras =
      std::count_if(replica.subset.members().begin(), replica.subset.members().end(),
                    [&](std::size_t index) { return replica.registry[index].is_subset_extra; });
  EXPECT_EQ(extras, 11);
  EXPECT_DOUBLE_EQ(replica.subset.shape().replicas_per_server, 2.5);
}

TEST(Subset, AllReplicasTogetherCoverEveryServer) {
  Settings settings = basic_settings();
  settings.replica_count = 20;
  std::vector<int> regular_member_counts(40);
  for (settings.replica_index = 0; settings.replica_index < 20; ++settings.replica_index) {
    const SelectionParts replica(settings, members(40));
    for (const std::size_t index : replica.subset.members()) {
      regular_member_counts[index] += replica.registry[index].is_subset_extra ? 0 : 1;
    }
  }
  EXPECT_GE(*std::min_element(regular_member_counts.begin(), regular_member_counts.end()), 2);
  EXPECT_LE(*std::max_element(regular_member_counts.begin(), regular_member_counts.end()), 3);
}

TEST(Subset, ServersOfTheLocalZoneComeFirst) {
  Settings settings = basic_settings();
  settings.zone = 1;
  settings.cross_zone_cost = 0.01;
  MembershipUpdate update = members(0);
  for (int i = 0; i < 6; ++i) update.servers.push_back(server(i, i % 2));
  const SelectionParts replica(settings, update);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(replica.registry[replica.subset.all()[i]].advertised.zone, i < 3 ? 1 : 0);
  }
}

TEST(WatchBackoff, GrowsWithFailuresUpToHalfOfTheDeadlineAndRestartsAfterAReset) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RandomSource random(seed);
    WatchBackoff backoff;
    double now = 100;
    for (const double pause : {0.3, 0.6, 1.2, 2.0, 2.0}) {  // at most half of the deadline
      const double next = backoff.next_watch_at(now, 4, random);
      EXPECT_GE(next - now, pause / 2);
      EXPECT_LE(next - now, pause);
      now = next;
    }
    EXPECT_LE(backoff.next_watch_at(now + 10, 4, random), now + 10.3) << "the watch hung for 10 s";
    backoff.reset();
    EXPECT_LE(backoff.next_watch_at(now + 10, 4, random), now + 10.3);
  }
}

TEST(EndpointSelector, AnEjectedOrTriedServerIsPickedOnlyIfNoOtherServerIsLeft) {
  SelectionParts replica(basic_settings(), members(3));
  for (int i = 0; i < 3; ++i) replica.registry[0].outlier.record(100, false);
  replica.request.attempts.push_back({1, 100});
  EXPECT_EQ(replica.pick_counts(50), (std::vector<int>{0, 0, 50}));
  replica.request.attempts.push_back({2, 100});
  EXPECT_EQ(replica.pick_counts(50), (std::vector<int>{50, 0, 0}))
      << "an ejected server is preferred to one that was already tried";
}

TEST(EndpointSelector, PicksTheServerWithTheLowerLoadScore) {
  SelectionParts replica(basic_settings(), members(2));
  replica.registry[0].in_flight.add(100);
  EXPECT_EQ(replica.pick_counts(50), (std::vector<int>{0, 50}));
  for (int i = 0; i < 20; ++i) replica.registry[1].relative_latency.record(100, 3);
  EXPECT_EQ(replica.pick_counts(50), (std::vector<int>{50, 0}))
      << "one attempt in flight weighs less than three times the latency";
}

TEST(EndpointSelector, AServerWithoutCapacityIsPickedOnlyBehindTheFirstTier) {
  Settings settings = basic_settings();
  for (settings.tier = 0; settings.tier < 2; ++settings.tier) {
    SelectionParts replica(settings, members(1));
    for (int i = 0; i < 8; ++i) replica.registry[0].in_flight.add(100);
    EXPECT_EQ(replica.selector.pick_endpoint(100, replica.request).has_value(), settings.tier > 0);
  }
}

}  // namespace
}  // namespace nettleyoke
