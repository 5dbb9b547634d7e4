// Servers that operators take out by hand and put back, in the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "balancer_harness.h"

namespace nettleyoke {
namespace {

// The servers that `calls` requests go to, each answered at once.
std::multiset<std::string> used(Copy& copy, int calls, const std::string& tag, double step = 0.01) {
  std::multiset<std::string> out;
  for (int i = 0; i < calls; ++i) {
    copy.now += step;
    const std::string id = tag + std::to_string(i);
    for (const StartAttempt& send : all<StartAttempt>(copy.request(id))) {
      out.insert(send.server);
      copy.end(id, Outcome::kSucceeded, 0, 0.05);
    }
  }
  return out;
}

TEST(ByHand, OneThatIsOutGetsNothingWhateverTheListSays) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  EXPECT_TRUE(used(copy, 100, "before").contains("s1"));
  copy.at(copy.now, ServerAdminStateChanged{"s1", false});
  EXPECT_FALSE(used(copy, 100, "out").contains("s1"));
  copy.at(copy.now, members(3));  // the whole list anew
  EXPECT_FALSE(used(copy, 100, "listed").contains("s1"));
  MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
  change.servers[0].state = ServerState::kRemoved;
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
  copy.at(copy.now, ServerAdminStateChanged{"s1", false});
  copy.at(copy.now, ServerAdminStateChanged{"s1", false});
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 1U);
  copy.at(copy.now, ServerAdminStateChanged{"s1", true});
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 0U);
  EXPECT_TRUE(used(copy, 100, "back").contains("s1"));
}

// Danger: the list may not tell of the restart, and a cold server that is taken for a warm one is pushed
// over.
TEST(ByHand, OneThatIsBackIsColdAndStillUsed) {
  Settings settings = basic_settings();
  settings.initial_capacity = 0.3;
  settings.slow_start_duration = 8;
  Copy copy(settings);
  copy.at(0, members(3));
  used(copy, 300, "before");
  copy.at(copy.now, ServerAdminStateChanged{"s1", false});
  used(copy, 100, "out");
  copy.at(copy.now, ServerAdminStateChanged{"s1", true});
  const auto back = used(copy, 200, "back");  // 2 s
  const auto part = static_cast<double>(back.count("s1")) / static_cast<double>(back.size());
  EXPECT_GT(part, 0.02);
  EXPECT_LT(part, 0.20) << "a third when warm";
}

// Danger: taken to start with the call back, it gets less than it can do and the others more.
TEST(ByHand, OneThatTheListTellsToHaveStartedWhileOutIsAsWarmAsItsAge) {
  const auto part_of = [](double started, double out_at) {
    Settings settings = basic_settings();
    settings.initial_capacity = 0.1;
    settings.slow_start_duration = 8;
    Copy copy(settings);
    copy.at(0, members(3));
    used(copy, 300, "before");
    copy.at(out_at, ServerAdminStateChanged{"s1", false});
    MembershipUpdate change{MembershipUpdate::Form::kChanges, {server(1)}};
    change.servers[0].started = started;
    copy.at(20, change);
    used(copy, 100, "out");
    copy.at(copy.now, ServerAdminStateChanged{"s1", true});
    return used(copy, 200, "back").count("s1");
  };
  const auto just_now = part_of(3.5, 4);  // the list knows of no start since it was taken out
  const auto told = part_of(15, 4);       // 6 s ago, 6 of 8 s of its ramp
  EXPECT_GT(told, 2 * just_now);
}

TEST(ByHand, WithAllOutCallsAreRefusedAtOnceWithAdvice) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  for (const char* name : {"s0", "s1"}) copy.at(copy.now, ServerAdminStateChanged{name, false});
  const auto refused = all<Reject>(copy.request("r"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_GT(refused[0].retry_after, 0);
}

// Guards against a ban that is lost because the server is told of only later, as at a start.
TEST(ByHand, ABanHoldsForAServerThatIsListedLater) {
  Copy copy(basic_settings());
  copy.at(0, ServerAdminStateChanged{"s1", false});
  copy.at(0, members(2));
  EXPECT_FALSE(used(copy, 50, "r").contains("s1"));
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 1U);
}

TEST(ByHand, AnAttemptThatIsOutEndsAsUsual) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  ASSERT_EQ(all<StartAttempt>(copy.request("r")).size(), 1U);
  copy.at(copy.now, ServerAdminStateChanged{"s0", false});
  EXPECT_TRUE(copy.end("r", Outcome::kSucceeded).empty());
  copy.at(copy.now, ServerAdminStateChanged{"s0", true});
  EXPECT_EQ(all<StartAttempt>(copy.request("r2")).size(), 1U);
}

TEST(Avoided, OnesThatFailCountUntilTheyAreTrustedAgain) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 0U);
  for (int i = 0; i < 4; ++i) {
    copy.now += 0.01;
    const std::string id = "f" + std::to_string(i);
    auto sends = all<StartAttempt>(copy.request(id));
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<StartAttempt>(copy.end(id, Outcome::kReset, attempt));
  }
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now), 1U);
  EXPECT_EQ(copy.balancer.unavailable_servers(copy.now + 60), 0U);
}

// ---------------------------------------------------------------- bodies on their way

Request coming(const std::string& id) {
  Request r;
  r.id = id;
  r.time_left = 6;
  r.body_in_progress = true;
  return r;
}

// Danger: callers that take seconds to send, or to take an answer, would fill what the tier may hold.
TEST(Bodies, OnTheirWayAreNoCallsInFlight) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  for (int i = 0; i < 50; ++i)
    ASSERT_EQ(all<StartAttempt>(copy.at(0, coming("c" + std::to_string(i)))).size(), 1U) << i;
  EXPECT_EQ(all<StartAttempt>(copy.request("r")).size(), 1U);
  // Once they are all there they count, and others are refused.
  for (int i = 0; i < 50; ++i) copy.at(0, RequestBodyComplete{"c" + std::to_string(i)});
  EXPECT_EQ(all<Reject>(copy.request("late")).size(), 1U);
  // An answer that has begun counts no more.
  for (int i = 0; i < 50; ++i) copy.at(0, ResponseStarted{"c" + std::to_string(i), 0, 0.1});
  EXPECT_EQ(all<StartAttempt>(copy.request("room")).size(), 1U);
  for (int i = 0; i < 50; ++i) {
    const Outcome outcome = i % 2 == 0 ? Outcome::kSucceeded : Outcome::kReset;
    EXPECT_TRUE(copy.at(copy.now, AttemptResult{"c" + std::to_string(i), 0, outcome, 0.1, true}).empty());
  }
  EXPECT_EQ(all<StartAttempt>(copy.request("after")).size(), 1U);
}

TEST(Bodies, TheTimeOfOneRunsFromItsLastByte) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  ASSERT_EQ(all<StartAttempt>(copy.at(0, coming("c"))).size(), 1U);
  copy.at(20, RequestBodyComplete{"c"});
  const auto again = all<StartAttempt>(copy.at(20.5, AttemptResult{"c", 0, Outcome::kRejected, 0.5}));
  ASSERT_EQ(again.size(), 1U) << "20 s of sending are not taken off";
  EXPECT_LE(again[0].timeout, 5.5);
}

TEST(Bodies, OneThatIsSpentIsNotSentAgain) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  ASSERT_EQ(all<StartAttempt>(copy.at(0, coming("c"))).size(), 1U);
  AttemptResult broken{"c", 0, Outcome::kConnectFailed, 0.1};
  broken.body_consumed = true;
  const auto actions = copy.at(0.1, broken);
  EXPECT_TRUE(all<StartAttempt>(actions).empty());
  EXPECT_EQ(all<Reject>(actions).size(), 1U) << "it never ran";
}

// ---------------------------------------------------------------- settings that are replaced

Settings named_settings(int max_attempts) {
  Settings s = basic_settings();
  s.classes[0].name = "look";
  s.max_attempts = max_attempts;
  Tenant tenant;
  tenant.quota = 5;
  tenant.name = "acme";
  s.tenants = {tenant};
  return s;
}

TEST(Replaced, OpenRequestsKeepTheirRulesToTheirLastAttempt) {
  Copy copy(named_settings(3));
  copy.at(0, members(4));
  ASSERT_EQ(all<StartAttempt>(copy.request("before")).size(), 1U);
  Settings next = named_settings(1);
  next.classes[0].idempotency = Idempotency::kNonIdempotent;
  copy.at(copy.now, SettingsReplaced{next});
  EXPECT_EQ(all<StartAttempt>(copy.end("before", Outcome::kReset)).size(), 1U) << "safe, and three attempts";
  EXPECT_EQ(all<StartAttempt>(copy.end("before", Outcome::kReset, 1)).size(), 1U);
  EXPECT_TRUE(all<StartAttempt>(copy.end("before", Outcome::kReset, 2)).empty());
  ASSERT_EQ(all<StartAttempt>(copy.request("after")).size(), 1U);
  EXPECT_EQ(all<Fail>(copy.end("after", Outcome::kReset)).size(), 1U) << "unsafe, and one attempt";
}

TEST(Replaced, ADroppedClassEndsItsOpenRequestsAsUsual) {
  Settings two = named_settings(3);
  two.classes.push_back(class_of(Idempotency::kIdempotencyKey));
  two.classes[1].name = "mark";
  Copy copy(two);
  copy.at(0, members(4));
  ASSERT_EQ(all<StartAttempt>(copy.request("r", 0, 1)).size(), 1U);
  copy.at(copy.now, SettingsReplaced{named_settings(3)});
  EXPECT_EQ(all<StartAttempt>(copy.end("r", Outcome::kReset)).size(), 1U);
  EXPECT_TRUE(copy.end("r", Outcome::kSucceeded, 1).empty());
}

TEST(Replaced, WhatWasLearnedOfATenantGoesOnByItsName) {
  Copy copy(named_settings(3));
  copy.at(0, members(4));
  used(copy, 4000, "r");  // all are answered well and in time: the limit climbs
  const double learned = copy.balancer.tenant(copy.now, 0).rate_limit;
  Settings next = named_settings(3);
  Tenant other;
  other.quota = 5;
  other.name = "other";
  next.tenants.insert(next.tenants.begin(), other);
  ASSERT_GT(learned, Copy(next).balancer.tenant(0, 0).rate_limit);
  copy.at(copy.now, SettingsReplaced{next});
  EXPECT_EQ(copy.balancer.tenant(copy.now, 1).rate_limit, learned);
  EXPECT_LT(copy.balancer.tenant(copy.now, 0).rate_limit, learned) << "a new one starts anew";
}

TEST(Replaced, SettingsThatCannotBeUsedChangeNothing) {
  Copy copy(named_settings(3));
  copy.at(0, members(4));
  Settings bad = named_settings(1);
  bad.classes[0].client_timeout = 0;
  std::vector<Action> none;
  EXPECT_THROW(copy.balancer.handle(copy.now, SettingsReplaced{bad}, none), std::invalid_argument);
  EXPECT_TRUE(none.empty());
  ASSERT_EQ(all<StartAttempt>(copy.request("r")).size(), 1U);
  EXPECT_EQ(all<StartAttempt>(copy.end("r", Outcome::kReset)).size(), 1U);
}

}  // namespace
}  // namespace nettleyoke
