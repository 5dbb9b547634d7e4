// Servers that operators take out by hand and put back, in the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "harness.h"

namespace thymewood {
namespace {

// The servers that `calls` requests go to, each answered at once.
std::multiset<std::string> used(Copy& copy, int calls, const std::string& tag, double step = 0.01) {
  std::multiset<std::string> out;
  for (int i = 0; i < calls; ++i) {
    copy.now += step;
    const std::string id = tag + std::to_string(i);
    for (const Send& send : all<Send>(copy.request(id))) {
      out.insert(send.server);
      copy.end(id, Outcome::kDelivered, 0, 0.05);
    }
  }
  return out;
}

TEST(ByHand, OneThatIsOutGetsNothingWhateverTheListSays) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  EXPECT_TRUE(used(copy, 100, "before").contains("s1"));
  copy.at(copy.now, ServerSwitched{"s1", false});
  EXPECT_FALSE(used(copy, 100, "out").contains("s1"));
  copy.at(copy.now, members(3));  // the whole list anew
  EXPECT_FALSE(used(copy, 100, "listed").contains("s1"));
  MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
  change.servers[0].state = ServerState::kGone;
  copy.at(copy.now, change);
  change.servers[0].state = ServerState::kReady;
  change.servers[0].started = copy.now;  // it comes again as another process
  copy.at(copy.now, change);
  const auto after = used(copy, 100, "again");
  EXPECT_FALSE(after.contains("s1"));
  EXPECT_EQ(after.size(), 100U) << "the others serve on";
}

TEST(ByHand, OneCallBackUndoesTwoOut) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  copy.at(copy.now, ServerSwitched{"s1", false});
  copy.at(copy.now, ServerSwitched{"s1", false});
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now), 1U);
  copy.at(copy.now, ServerSwitched{"s1", true});
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now), 0U);
  EXPECT_TRUE(used(copy, 100, "back").contains("s1"));
}

// Danger: the list may not tell of the restart, and a cold server that is taken for a warm one is pushed
// over.
TEST(ByHand, OneThatIsBackIsColdAndStillUsed) {
  Settings settings = basic_settings();
  settings.start_capacity = 0.3;
  settings.ramp_time = 8;
  Copy copy(settings);
  copy.at(0, members(3));
  used(copy, 300, "before");
  copy.at(copy.now, ServerSwitched{"s1", false});
  used(copy, 100, "out");
  copy.at(copy.now, ServerSwitched{"s1", true});
  const auto back = used(copy, 200, "back");  // 2 s
  const auto part = static_cast<double>(back.count("s1")) / static_cast<double>(back.size());
  EXPECT_GT(part, 0.02);
  EXPECT_LT(part, 0.20) << "a third when warm";
}

TEST(ByHand, WithAllOutCallsAreRefusedAtOnceWithAdvice) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  for (const char* name : {"s0", "s1"}) copy.at(copy.now, ServerSwitched{name, false});
  const auto refused = all<Refuse>(copy.request("r"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_GT(refused[0].retry_after, 0);
}

// Guards against a ban that is lost because the server is told of only later, as at a start.
TEST(ByHand, ABanHoldsForAServerThatIsListedLater) {
  Copy copy(basic_settings());
  copy.at(0, ServerSwitched{"s1", false});
  copy.at(0, members(2));
  EXPECT_FALSE(used(copy, 50, "r").contains("s1"));
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now), 1U);
}

TEST(ByHand, AnAttemptThatIsOutEndsAsUsual) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  ASSERT_EQ(all<Send>(copy.request("r")).size(), 1U);
  copy.at(copy.now, ServerSwitched{"s0", false});
  EXPECT_TRUE(copy.end("r", Outcome::kDelivered).empty());
  copy.at(copy.now, ServerSwitched{"s0", true});
  EXPECT_EQ(all<Send>(copy.request("r2")).size(), 1U);
}

TEST(Avoided, OnesThatFailCountUntilTheyAreTrustedAgain) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now), 0U);
  for (int i = 0; i < 4; ++i) {
    copy.now += 0.01;
    const std::string id = "f" + std::to_string(i);
    auto sends = all<Send>(copy.request(id));
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<Send>(copy.end(id, Outcome::kReset, attempt));
  }
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now), 1U);
  EXPECT_EQ(copy.balancer.servers_avoided(copy.now + 60), 0U);
}

}  // namespace
}  // namespace thymewood
