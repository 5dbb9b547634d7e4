// Membership and selection by themselves: server registry, subset, watch backoff, endpoint selector.
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
  EXPECT_EQ(registry.index_count(), 2U) << "the index is used again";
  EXPECT_EQ(registry[1].advertised.address, "s7");
}

TEST(ServerRegistry, AServerThatIsDisabledBeforeItIsAdvertisedGetsNoCalls) {
  ServerRegistry registry;
  RandomSource random(1);
  EXPECT_FALSE(registry.set_admin_state(99, {"s0", false}, random)) << "not known yet";
  registry.update(100, members(2), random);
  EXPECT_FALSE(registry[0].accepts_attempts());
  EXPECT_EQ(registry.unavailable_count(100), 1U);
  EXPECT_TRUE(registry.set_admin_state(101, {"s0", true}, random));
  EXPECT_TRUE(registry[0].accepts_attempts());
  EXPECT_FALSE(registry.set_admin_state(102, {"s0", true}, random)) << "nothing changes";
}

TEST(ServerRegistry, ARestartForgetsWhatTheLastProcessDidButNotItsCallsInFlight) {
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

struct Fleet {
  explicit Fleet(const Settings& settings, const MembershipUpdate& update) {
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
  std::vector<int> picks(int count) {
    std::vector<int> picks(registry.index_count());
    for (int i = 0; i < count; ++i) ++picks.at(selector.pick_endpoint(100, request).value());
    return picks;
  }

  RandomSource random{1};
  ServerRegistry registry;
  Subset subset;
  SlowStartPolicy slow_start;
  TierConcurrencyLimit tier_limit;
  EndpointSelector selector{registry, subset, tier_limit, slow_start, random};
  RequestState request;
};

TEST(Subset, HasExtraMembersBesideItsRegularOnes) {
  Settings settings = basic_settings();
  settings.replica_count = 20;
  const Fleet fleet(settings, members(40));
  EXPECT_EQ(fleet.subset.regular_size(), 5U);
  EXPECT_EQ(fleet.subset.members().size(), 16U) << "8 replicas for each server";
  const auto extras = std::count_if(fleet.subset.members().begin(), fleet.subset.members().end(),
                                    [&](std::size_t index) { return fleet.registry[index].is_subset_extra; });
  EXPECT_EQ(extras, 11);
  EXPECT_DOUBLE_EQ(fleet.subset.shape().replicas_per_server, 2.5);
}

TEST(Subset, AllReplicasTogetherCoverEveryServer) {
  Settings settings = basic_settings();
  settings.replica_count = 20;
  std::vector<int> users(40);
  for (settings.replica_index = 0; settings.replica_index < 20; ++settings.replica_index) {
    const Fleet fleet(settings, members(40));
    for (const std::size_t index : fleet.subset.members()) {
      users[index] += fleet.registry[index].is_subset_extra ? 0 : 1;
    }
  }
  EXPECT_GE(*std::min_element(users.begin(), users.end()), 2);
  EXPECT_LE(*std::max_element(users.begin(), users.end()), 3);
}

TEST(Subset, ServersOfTheLocalZoneComeFirst) {
  Settings settings = basic_settings();
  settings.zone = 1;
  settings.cross_zone_cost = 0.01;
  MembershipUpdate update = members(0);
  for (int i = 0; i < 6; ++i) update.servers.push_back(server(i, i % 2));
  const Fleet fleet(settings, update);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(fleet.registry[fleet.subset.all()[i]].advertised.zone, i < 3 ? 1 : 0);
  }
}

TEST(WatchBackoff, GrowsWithFailuresWithinItsBoundsAndStartsAgainAfterAReset) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RandomSource random(seed);
    WatchBackoff backoff;
    double now = 100;
    for (const double pause : {0.3, 0.6, 1.2, 2.0, 2.0}) {  // half of the deadline at most
      const double next = backoff.next_watch_at(now, 4, random);
      EXPECT_GE(next - now, pause / 2);
      EXPECT_LE(next - now, pause);
      now = next;
    }
    EXPECT_LE(backoff.next_watch_at(now + 10, 4, random), now + 10.3) << "the call hung for long";
    backoff.reset();
    EXPECT_LE(backoff.next_watch_at(now + 10, 4, random), now + 10.3);
  }
}

TEST(EndpointSelector, AnEjectedOrTriedServerIsPickedOnlyIfAllOthersAreToo) {
  Fleet fleet(basic_settings(), members(3));
  for (int i = 0; i < 3; ++i) fleet.registry[0].outlier.record(100, false);
  fleet.request.attempts.push_back({1, 100});
  EXPECT_EQ(fleet.picks(50), (std::vector<int>{0, 0, 50}));
  fleet.request.attempts.push_back({2, 100});
  EXPECT_EQ(fleet.picks(50), (std::vector<int>{50, 0, 0})) << "health counts for less than another server";
}

TEST(EndpointSelector, OfTwoServersTheOneWithTheLowerLoadScoreIsPicked) {
  Fleet fleet(basic_settings(), members(2));
  fleet.registry[0].in_flight.add(100);
  EXPECT_EQ(fleet.picks(50), (std::vector<int>{0, 50}));
  for (int i = 0; i < 20; ++i) fleet.registry[1].relative_latency.record(100, 3);
  EXPECT_EQ(fleet.picks(50), (std::vector<int>{50, 0}))
      << "one call in flight against three times the latency";
}

TEST(EndpointSelector, WithoutCapacityNothingIsPickedInTheFirstTier) {
  Settings settings = basic_settings();
  for (settings.tier = 0; settings.tier < 2; ++settings.tier) {
    Fleet fleet(settings, members(1));
    for (int i = 0; i < 8; ++i) fleet.registry[0].in_flight.add(100);
    EXPECT_EQ(fleet.selector.pick_endpoint(100, fleet.request).has_value(), settings.tier > 0);
  }
}

}  // namespace
}  // namespace nettleyoke
