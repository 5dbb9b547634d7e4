/// @file
/// When the membership is watched again, where watches may wait and fail in any way. Nothing here takes time:
/// the watches last as long as the test says.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

MembershipUpdate failed() { return {MembershipUpdate::Form::kFailed, {}}; }

// A backoff that has grown with watches that were refused may follow one that hung: what discovery got in the
// meantime counts as notified 6 s after it could be reached, which may have been just after the start of the
// watch that hung.
TEST(WatchBackoff, NextWatchBeginsSoonAfterTheStartOfOneThatHung) {
  for (const double hung : {0.0, 1.0, 3.0, 4.5}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      for (int refused = 0; refused < 8; ++refused) {
        Settings settings = basic_settings();
        settings.must_watch = true;
        settings.notification_deadline = seed % 2 == 0 ? 10 : 0;
        ReplicaUnderTest replica(settings, seed);
        replica.at(0, Started{});
        double begun = 0;
        const auto watch_after = [&](double duration) {
          const auto timers = actions_of<SetTimer>(replica.at(begun + duration, failed()));
          ASSERT_EQ(timers.size(), 1U);
          EXPECT_GE(timers[0].due_at, begun + duration + 0.15) << "no flood";
          EXPECT_LE(timers[0].due_at - begun, std::max(4.0, duration + 0.3)) << refused << ", hung " << hung;
          begun = timers[0].due_at;
          ASSERT_EQ(actions_of<WatchMembership>(replica.at(begun, TimerFired{timers[0].token})).size(), 1U);
        };
        for (int i = 0; i < refused; ++i) watch_after(0);
        watch_after(hung);
      }
    }
  }
}

// There must not be two watches for each failure from then on: the node watches at once where discovery has
// moved.
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
