/// @file
/// Outlier detection, attempt timeouts and retries of one replica.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"
#include "large_quota_settings.h"

namespace nettleyoke {
namespace {

// Sends requests and ends each attempt at once: at `failing_server` with `outcome`, elsewhere with success.
// Returns the number of first attempts at each server.
std::map<std::string, int> run_requests(ReplicaUnderTest& replica, const std::string& failing_server,
                                        Outcome outcome, double from, double seconds, double rate,
                                        const std::string& prefix) {
  std::map<std::string, int> first_attempts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto attempts = actions_of<StartAttempt>(replica.request(id));
    if (!attempts.empty()) ++first_attempts[attempts[0].server];
    for (int attempt = 0; !attempts.empty(); ++attempt) {
      attempts = actions_of<StartAttempt>(replica.end_attempt(
          id, attempts[0].server == failing_server ? outcome : Outcome::kSucceeded, attempt));
    }
  }
  return first_attempts;
}

// A server that fails at once has no requests in flight and therefore looks the least loaded.
TEST(OutlierDetection, FastFailingServerIsEjectedAndUsedAgainAfterRecovery) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(6));
  const auto while_failing = run_requests(replica, "s2", Outcome::kServerError, 0, 10, 50, "a");
  EXPECT_LT(while_failing.at("s2"), 25);
  const auto after_recovery = run_requests(replica, "", Outcome::kSucceeded, 10, 30, 50, "b");
  EXPECT_GT(after_recovery.at("s2"), 100);
}

// If all servers fail for a common reason, evaluating each one alone would eject all of them and leave none
// to send to.
TEST(OutlierDetection, NoServerIsEjectedWhenAllServersFail) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(4));
  int first_attempts = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto attempts = actions_of<StartAttempt>(replica.request(id));
    first_attempts += static_cast<int>(attempts.size());
    for (int attempt = 0; !attempts.empty(); ++attempt)
      attempts = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
  }
  EXPECT_EQ(first_attempts, 200);
}

TEST(OutlierDetection, RetriesStayWithinTheBudget) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(4));
  int first_attempts = 0;
  int retries = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto attempts = actions_of<StartAttempt>(replica.request(id));
    first_attempts += static_cast<int>(attempts.size());
    for (int attempt = 0; !attempts.empty(); ++attempt) {
      attempts = actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
      retries += static_cast<int>(attempts.size());
    }
  }
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, first_attempts / 4 + 10);
}

// Failures occur in clusters. With a budget of a single retry, the second request of each cluster would fail,
// and behind the first tier that wastes the work of the tiers in front.
TEST(OutlierDetection, ClusterOfFailuresIsRetried) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(6));
  run_requests(replica, "", Outcome::kSucceeded, 0, 10, 20, "calm");
  for (int i = 0; i < 4; ++i) {
    const std::string id = "reset" + std::to_string(i);
    ASSERT_EQ(actions_of<StartAttempt>(replica.request(id)).size(), 1U);
    EXPECT_EQ(actions_of<StartAttempt>(replica.end_attempt(id, Outcome::kReset)).size(), 1U) << i;
    replica.end_attempt(id, Outcome::kSucceeded, 1);
  }
}

// An attempt without a response lasts until its timeout. If a fifth of all attempts time out and each one
// raises the next timeout, no attempt times out early enough for a retry any more.
TEST(AttemptTimeout, TimeoutsDoNotLengthenTheTimeout) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(6));
  const auto timeout_of = [&replica](int i, bool stuck) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    const auto attempts = actions_of<StartAttempt>(replica.request(id));
    if (attempts.empty()) return 0.0;
    replica.end_attempt(id, stuck ? Outcome::kTimedOut : Outcome::kSucceeded, 0,
                        stuck ? attempts[0].timeout : 0.08 + 0.04 * (i % 2));
    if (stuck) replica.end_attempt(id, Outcome::kSucceeded, 1);
    return attempts[0].timeout;
  };
  for (int i = 0; i < 500; ++i) timeout_of(i, false);
  const double before = timeout_of(500, false);
  EXPECT_LT(before, 0.5);
  for (int i = 501; i < 1000; ++i) timeout_of(i, i % 5 == 0);
  const double after = timeout_of(1000, false);
  EXPECT_GT(after, 0);
  EXPECT_LT(after, 3 * before);
}

// Stuck attempts count as in flight. If they last many times the usual latency, a few of them use up the
// concurrency limit of the tier, and all other requests are rejected.
TEST(AttemptTimeout, StuckAttemptsDoNotUseUpTheConcurrencyLimit) {
  ReplicaUnderTest replica(settings_with_large_quota());
  replica.at(0, members(4));
  struct PendingRequest {
    std::string id;
    bool stuck = false;
    double duration = 0;  // s
  };
  std::multimap<double, PendingRequest> ends;
  int rejected = 0;
  for (int i = 0; i < 2000; ++i) {
    const double now = i * 0.01;
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [end_time, pending] = *ends.begin();
      ends.erase(ends.begin());
      replica.now = end_time;
      const Outcome outcome = pending.stuck ? Outcome::kTimedOut : Outcome::kSucceeded;
      const auto retries =
          actions_of<StartAttempt>(replica.end_attempt(pending.id, outcome, 0, pending.duration));
      if (!retries.empty()) replica.end_attempt(pending.id, Outcome::kSucceeded, 1);
    }
    replica.now = now;
    const std::string id = std::to_string(i);
    const auto actions = replica.request(id);
    rejected += static_cast<int>(actions_of<Reject>(actions).size());
    for (const StartAttempt& attempt : actions_of<StartAttempt>(actions)) {
      const bool stuck = i >= 1000 && i % 8 == 0;
      const double duration = stuck ? attempt.timeout : 0.02 + 0.1 * (i % 3);
      ends.emplace(now + duration, PendingRequest{id, stuck, duration});
    }
  }
  EXPECT_LT(rejected, 20);
}

TEST(OutlierDetection, RetryGoesToAnotherServer) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(3));
  const auto first = actions_of<StartAttempt>(replica.request("r"));
  const auto second = actions_of<StartAttempt>(replica.end_attempt("r", Outcome::kReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].server, second[0].server);
}

TEST(AttemptTimeout, FollowsTheObservedLatency) {
  ReplicaUnderTest replica(basic_settings());
  replica.at(0, members(4));
  const double before = actions_of<StartAttempt>(replica.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    replica.now = i * 0.1;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSucceeded, 0, 0.05);
  }
  const double after = actions_of<StartAttempt>(replica.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

}  // namespace
}  // namespace nettleyoke
