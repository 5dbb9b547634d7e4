// When the members are asked for again, where calls may have to wait and fail in any way. Nothing here takes
// time: the calls last as long as the test says.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

MembershipUpdate failed() { return {MembershipUpdate::Form::kFailed, {}}; }

// Guards against a pause that has grown with calls that were refused and follows one that hung: what
// discovery got in the meantime counts as told 6 s after it could be reached, which may have been just after
// the start of the call that hung.
TEST(Rewatch, TheNextCallBeginsSoonAfterTheStartOfOneThatHung) {
  for (const double hung : {0.0, 1.0, 3.0, 4.5}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      for (int refused = 0; refused < 8; ++refused) {
        Settings s = basic_settings();
        s.must_watch = true;
        s.notification_deadline = seed % 2 == 0 ? 10 : 0;
        Copy copy(s, seed);
        copy.at(0, Started{});
        double begun = 0;
        const auto call_after = [&](double lasted) {
          const auto timers = all<SetTimer>(copy.at(begun + lasted, failed()));
          ASSERT_EQ(timers.size(), 1U);
          EXPECT_GE(timers[0].due_at, begun + lasted + 0.15) << "no flood";
          EXPECT_LE(timers[0].due_at - begun, std::max(4.0, lasted + 0.3)) << refused << ", hung " << hung;
          begun = timers[0].due_at;
          ASSERT_EQ(all<WatchMembership>(copy.at(begun, TimerFired{timers[0].token})).size(), 1U);
        };
        for (int i = 0; i < refused; ++i) call_after(0);
        call_after(hung);
      }
    }
  }
}

// Guards against two calls for each failure from then on: the node calls at once where discovery has moved.
TEST(Rewatch, ATimerFromBeforeAReloadAsksForNothing) {
  Settings s = basic_settings();
  s.must_watch = true;
  Copy copy(s);
  copy.at(0, Started{});
  const auto before = all<SetTimer>(copy.at(1, failed()));
  copy.at(1.1, SettingsReplaced{s});
  const auto after = all<SetTimer>(copy.at(1.2, failed()));
  ASSERT_EQ(before.size() + after.size(), 2U);
  EXPECT_TRUE(copy.at(before[0].due_at, TimerFired{before[0].token}).empty());
  EXPECT_EQ(all<WatchMembership>(copy.at(after[0].due_at, TimerFired{after[0].token})).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
