/// @file
/// The parts of the dispatcher that need no sockets, each by itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "dispatch/deadline_margin.h"
#include "dispatch/decision_loop.h"
#include "dispatch/in_flight_request.h"
#include "dispatch/membership_tracker.h"
#include "dispatch/request_log.h"

namespace nettleyoke::node {
namespace {

// ---------------------------------------------------------------- margins

TEST(DeadlineMargin, IsAFractionOfTheTimeLeftBetweenItsBounds) {
  constexpr DeadlineMargin kMargin{};
  EXPECT_DOUBLE_EQ(kMargin.of(1), 0.020);
  EXPECT_DOUBLE_EQ(kMargin.of(60), 0.040);
  EXPECT_DOUBLE_EQ(kMargin.of(0.01), 0.001);
  EXPECT_DOUBLE_EQ(kMargin.of(0), 0.001);
}

TEST(DeadlineMargin, WithoutALowerBoundStaysAFractionOfAnyShortTime) {
  constexpr DeadlineMargin kMargin{0};
  EXPECT_DOUBLE_EQ(kMargin.of(0.01), 0.0002);
  EXPECT_DOUBLE_EQ(kMargin.of(60), 0.040);
}

TEST(DeadlineMargin, FallbackLiesBetweenTheEndOfAttemptsAndTheClientDeadline) {
  constexpr DeadlineMargin kMargin{};
  EXPECT_DOUBLE_EQ(kMargin.attempts_end(100, 1), 99.98);
  EXPECT_DOUBLE_EQ(kMargin.fallback_at(100, 1), 99.99);
}

// ---------------------------------------------------------------- requests in flight

struct InFlight : testing::Test {
  std::shared_ptr<const OutgoingRequest> message = std::make_shared<OutgoingRequest>();
  std::vector<FinalAnswer> answers;
  InFlightRequest request{message, [this](FinalAnswer&& answer) { answers.push_back(std::move(answer)); }, 3,
                          1.0, 10.0};
};

TEST_F(InFlight, IsSettledOnceItsFinalAnswerIsGiven) {
  EXPECT_FALSE(request.is_completed());
  EXPECT_FALSE(request.is_settled());
  request.answer({FinalAnswer::Kind::kServed, 0, {}, nullptr}, 10.25);
  EXPECT_TRUE(request.is_settled());
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].kind, FinalAnswer::Kind::kServed);
  EXPECT_FALSE(request.history().needs_logging());
  EXPECT_EQ(request.history().text(), ", class 3, given 1000 ms, served after 250 ms");
}

TEST_F(InFlight, StaysUnsettledUntilItsAttemptsHaveEnded) {
  const std::size_t first = request.add_attempt("a"), second = request.add_attempt("b");
  EXPECT_EQ(first, 0U);
  EXPECT_EQ(second, 1U);
  request.answer({FinalAnswer::Kind::kServed, 0, {}, nullptr}, 10.5);
  request.close_attempt(second);
  EXPECT_TRUE(request.has_open_attempts());
  EXPECT_FALSE(request.is_settled());
  request.close_attempt(first);
  EXPECT_TRUE(request.is_settled());
}

TEST_F(InFlight, AbandonedRequestGivesNoFinalAnswerAndNeedsLogging) {
  request.abandon(10.1);
  EXPECT_TRUE(request.is_settled());
  EXPECT_TRUE(answers.empty());
  EXPECT_TRUE(request.history().needs_logging());
  EXPECT_EQ(request.history().text(), ", class 3, given 1000 ms, client disconnected after 100 ms");
}

TEST_F(InFlight, AttemptsEndAMarginBeforeTheClientDeadline) {
  boost::asio::io_context io;
  EXPECT_DOUBLE_EQ(request.time_for_attempt(10), 0.98);  // no deadline is set while the body is arriving
  EXPECT_FALSE(request.has_deadline_after(0));
  request.set_deadline(11, std::make_unique<boost::asio::steady_timer>(io));
  EXPECT_DOUBLE_EQ(request.time_for_attempt(10.5), 11 - 0.02 - 10.5);
  EXPECT_TRUE(request.has_deadline_after(10.9));
  EXPECT_FALSE(request.has_deadline_after(11.1));
  request.abandon(10.6);
  EXPECT_FALSE(request.has_deadline_after(10.9));
}

TEST_F(InFlight, HistoryNamesEachAttempt) {
  const std::size_t first = request.add_attempt("a"), second = request.add_attempt("b");
  request.record_attempt(first, {Outcome::kReset, EndReason::kResponseIncomplete, true, 0.012});
  EXPECT_TRUE(request.history().needs_logging());
  request.record_attempt(second, {Outcome::kSucceeded, EndReason::kServer, true, 0.003});
  EXPECT_EQ(request.history().text(),
            ", class 3, given 1000 ms, a reset after 12 ms (response incomplete), b answered after 3 ms");
}

// ---------------------------------------------------------------- the log

TEST(RequestLog, WritesNothingForARequestThatNeedsNoLogging) {
  std::ostringstream out;
  RequestLog log(out);
  RequestHistory history(0, 1);
  history.add_attempt("a", {Outcome::kSucceeded, EndReason::kServer, true, 0.1});
  history.add_final_answer(FinalAnswer::Kind::kServed, 0.1);
  log.write("good", history, 5);
  EXPECT_EQ(out.str(), "");
}

TEST(RequestLog, WritesAtMostItsLimitOfLinesPerSecond) {
  std::ostringstream out;
  RequestLog log(out);
  RequestHistory history(0, 1);
  history.add_final_answer(FinalAnswer::Kind::kFailed, 1);
  const auto lines = [&out] {
    const std::string text = out.str();
    return std::count(text.begin(), text.end(), '\n');
  };
  for (int i = 0; i < 3 * RequestLog::kMaxLinesPerSecond; ++i) log.write("bad", history, 5);
  EXPECT_EQ(lines(), RequestLog::kMaxLinesPerSecond);
  log.write("bad", history, 5.99);
  EXPECT_EQ(lines(), RequestLog::kMaxLinesPerSecond);
  log.write("bad", history, 6);
  EXPECT_EQ(lines(), RequestLog::kMaxLinesPerSecond + 1);
  EXPECT_EQ(out.str().substr(0, out.str().find('\n')),
            "request bad, class 0, given 1000 ms, failed after 1000 ms");
}

// ---------------------------------------------------------------- membership

struct Membership : testing::Test, MembershipTracker::Observer {
  MembershipTracker tracker;
  // One entry per call: +NAME for a usable server, -NAME for an unusable one, xNAME for a removed one.
  std::string calls;

  void on_server_listed(const Endpoint& endpoint, bool usable) override {
    calls += (usable ? "+" : "-") + endpoint.server.address + " ";
  }
  void on_server_removed(const std::string& name) override { calls += "x" + name + " "; }

  static Endpoint endpoint(const std::string& name, ServerState state = ServerState::kReady) {
    Endpoint endpoint;
    endpoint.server.address = name;
    endpoint.server.state = state;
    return endpoint;
  }
  MembershipUpdate apply(bool is_full, const std::vector<Endpoint>& endpoints) {
    calls.clear();
    return tracker.apply({1, is_full, endpoints}, *this);
  }
};

TEST_F(Membership, FullListRemovesServersThatItLacks) {
  const MembershipUpdate event = apply(true, {endpoint("a"), endpoint("b", ServerState::kDraining)});
  EXPECT_EQ(event.form, MembershipUpdate::Form::kFull);
  EXPECT_EQ(event.servers.size(), 2U);
  EXPECT_EQ(calls, "+a -b ");
  EXPECT_EQ(tracker.listed_servers(), 2U);
  EXPECT_EQ(tracker.usable_servers(), 1U);
  (void)apply(true, {endpoint("b")});
  EXPECT_EQ(calls, "+b xa ");
  EXPECT_FALSE(tracker.is_listed("a"));
  EXPECT_EQ(tracker.usable_servers(), 1U);
}

TEST_F(Membership, ChangesLeaveOtherServersListed) {
  (void)apply(true, {endpoint("a"), endpoint("b")});
  const MembershipUpdate event = apply(false, {endpoint("a", ServerState::kRemoved), endpoint("c")});
  EXPECT_EQ(event.form, MembershipUpdate::Form::kChanges);
  EXPECT_EQ(calls, "xa +c ");
  EXPECT_TRUE(tracker.is_listed("b"));
  EXPECT_EQ(tracker.listed_servers(), 2U);
}

TEST_F(Membership, DisabledServersAreListedButNotUsable) {
  (void)apply(true, {endpoint("a"), endpoint("b")});
  EXPECT_EQ(tracker.set_disabled({"b", "unlisted"}), (std::vector<std::string>{"b", "unlisted"}));
  EXPECT_EQ(tracker.usable_servers(), 1U);
  (void)apply(false, {endpoint("b"), endpoint("unlisted")});
  EXPECT_EQ(calls, "-b -unlisted ");
  EXPECT_EQ(tracker.set_disabled({"unlisted"}), (std::vector<std::string>{"b"}));
  EXPECT_EQ(tracker.usable_servers(), 2U);
  EXPECT_EQ(tracker.find("c"), nullptr);
  ASSERT_NE(tracker.find("b"), nullptr);
  EXPECT_TRUE(tracker.is_usable(*tracker.find("b")));
}

// ---------------------------------------------------------------- the decision loop

// Records each call. While it executes the rejection of the request "first", it enqueues one more event.
struct RecordingExecutor : ActionExecutor {
  DecisionLoop* loop = nullptr;
  std::string calls;
  bool is_executing = false;
  bool throws_on_reject = false;

  void execute(const StartAttempt&) override { calls += "start "; }
  void execute(const Reject& action) override {
    EXPECT_FALSE(is_executing);
    is_executing = true;
    calls += "reject " + action.id + " ";
    if (throws_on_reject) {
      is_executing = false;
      throw std::runtime_error("no");
    }
    if (action.id == "first") loop->enqueue_event(request("second"));
    is_executing = false;
  }
  void execute(const Fail& action) override { calls += "fail " + action.id + " "; }
  void execute(const CancelAttempt&) override {}
  void execute(const SetTimer&) override {}
  void execute(const WatchMembership&) override { calls += "watch "; }
  void execute(const LogLine&) override {}
  void on_decision_failed(const std::exception&) override { calls += "failed "; }
  void on_execution_failed(const std::exception&) override { calls += "threw "; }
  void after_failed_decision(const Event&) override { calls += "after "; }

  static Event request(const std::string& id) {
    Request request;
    request.id = id;
    request.time_left = 1;
    return request;
  }
};

Settings settings_of_one_class() {
  Settings settings;
  RequestClass& request_class = settings.classes.emplace_back();
  request_class.latency_objective = request_class.client_timeout = 1;
  return settings;
}

struct DecisionLoopTest : testing::Test {
  Clock clock;
  RecordingExecutor executor;
  DecisionLoop loop{clock, settings_of_one_class(), 1, executor};

  void SetUp() override { executor.loop = &loop; }
};

// There is no server, so each request is rejected at once.
TEST_F(DecisionLoopTest, EventEnqueuedDuringAnActionIsHandledAfterIt) {
  loop.enqueue_event(RecordingExecutor::request("first"));
  EXPECT_EQ(executor.calls, "reject first reject second ");
}

TEST_F(DecisionLoopTest, ContinuesAfterAnActionThatThrows) {
  executor.throws_on_reject = true;
  loop.enqueue_event(RecordingExecutor::request("first"));
  loop.enqueue_event(RecordingExecutor::request("other"));
  EXPECT_EQ(executor.calls, "reject first threw reject other threw ");
}

TEST_F(DecisionLoopTest, UnusableSettingsAreReportedAndLaterEventsAreHandled) {
  Settings unusable;
  unusable.max_attempts = 0;
  loop.enqueue_event(SettingsReplaced{unusable});
  EXPECT_EQ(executor.calls, "failed after ");
  loop.enqueue_event(RecordingExecutor::request("first"));
  EXPECT_EQ(executor.calls, "failed after reject first reject second ");
}

}  // namespace
}  // namespace nettleyoke::node
