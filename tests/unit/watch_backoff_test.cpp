/// @file
/// When a replica watches the membership again after watches that hung or failed. Time is simulated.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

MembershipUpdate failed() { return {MembershipUpdate::Form::kFailed, {}}; }

// Discovery may become reachable just after the start of a watch that hangs, and a replica must be notified
// of changes within 6 s after discovery became reachable. The next watch must therefore start soon after the
// start of the one that hung, even if refused watches have increased the backoff before.
TEST(WatchBackoff, NextWatchStartsSoonAfterTheStartOfAWatchThatHung) {
  for (const double hang_seconds : {0.0, 1.0, 3.0, 4.5}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      for (int refused = 0; refused < 8; ++refused) {
        Settings settings = basic_settings();
        settings.must_watch = true;
        settings.notification_deadline = seed % 2 == 0 ? 10 : 0;
        ReplicaUnderTest replica(settings, seed);
        replica.at(0, Started{});
        double watch_started_at = 0;
        const auto watch_fails_after = [&](double duration) {
          const auto timers = actions_of<SetTimer>(replica.at(watch_started_at + duration, failed()));
          ASSERT_EQ(timers.size(), 1U);
          EXPECT_GE(timers[0].due_at, watch_started_at + duration + 0.15) << "the backoff is too short";
          EXPECT_LE(timers[0].due_at - watch_started_at, std::max(4.0, duration + 0.3))
              << refused << " refused watches, then one that hung for " << hang_seconds << " s";
          watch_started_at = timers[0].due_at;
          ASSERT_EQ(
              actions_of<WatchMembership>(replica.at(watch_started_at, TimerFired{timers[0].token})).size(),
              1U);
        };
        for (int i = 0; i < refused; ++i) watch_fails_after(0);
        watch_fails_after(hang_seconds);
      }
    }
  }
}

// After a reload that changes the address of discovery, the node watches at once. If the old timer started a
// second watch, each later failure would lead to two watches.
TEST(WatchBackoff, TimerFromBeforeAReloadStartsNoWatch) {
  Settings settings = basic_settings();
  settings.must_watch = true;
  ReplicaUnderTest replica(settings);
  replica.at(0, Started{});
  const auto before = actions_of<SetTimer>(replica.at(1, failed()));
  replica.at(1.1, SettingsReplaced{settings});
  const auto after = actions_of<SetTimer>(replica.at(1.2, failed()));
  ASSERT_EQ(before.size() + after.size(), 2U);
  EXPECT_TRUE(replica.at(before[0].due_at, TimerFired{before[0].token}).empty());
  EXPECT_EQ(actions_of<WatchMembership>(replica.at(after[0].due_at, TimerFired{after[0].token})).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
