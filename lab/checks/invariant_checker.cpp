#include "checks/invariant_checker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nettleyoke::lab {
namespace {

constexpr double kSocketSlackSeconds = 0.05;        // tolerance for socket delays, added to each time limit
constexpr double kDisconnectReactionSeconds = 0.1;  // time for a node to react to a disconnect
constexpr std::size_t kMaxAttemptsAfterDisconnect = 2;  // allowed per run
constexpr std::size_t kCallsPerClosedConnection = 200;  // one closed connection per so many calls is allowed
constexpr std::size_t kMaxViolationTexts = 20;

std::string milliseconds(double seconds) { return std::to_string(std::lround(seconds * 1000)) + " ms"; }

}  // namespace

// The rules' names in result files.
const char* rule_name(Rule rule) {
  switch (rule) {
    case Rule::kOneFinalAnswer:
      return "answer";
    case Rule::kFinalAnswerInTime:
      return "lost";
    case Rule::kRequestSentByClient:
      return "unknown";
    case Rule::kOneAttemptInFlight:
      return "copy";
    case Rule::kIdempotency:
      return "duplicate";
    case Rule::kNoAttemptAfterFinalAnswer:
      return "after";
    case Rule::kNoAttemptAfterDisconnect:
      return "left";
    case Rule::kDraining:
      return "drain";
    case Rule::kOneRequestPerConnection:
      return "server";
    case Rule::kNoCrash:
      return "crash";
    case Rule::kGracefulShutdown:
      break;
  }
  return "end";
}

std::size_t InvariantChecker::add_node(const std::string& name) {
  nodes_.push_back(name);
  draining_since_.emplace_back();
  return nodes_.size() - 1;
}

std::size_t InvariantChecker::add_server(const std::string& name) {
  servers_.push_back(name);
  return servers_.size() - 1;
}

void InvariantChecker::add_violation(Rule rule, const std::string& text) {
  const std::string name = rule_name(rule);
  violations_[name] += 1;
  if (first_violations_.size() < kMaxViolationTexts) first_violations_.push_back(name + ": " + text);
}

void InvariantChecker::call_sent(const std::string& id, std::size_t node, std::size_t request_class,
                                 double timeout, double now) {
  Call& call = calls_[id];
  call.node = node;
  call.request_class = request_class;
  call.sent_at = now;
  call.timeout = timeout;
  ++pending_calls_;
}

void InvariantChecker::call_ended(const std::string& id, CallOutcome outcome, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call& call = found->second;
  if (call.outcome != CallOutcome::kPending)
    return add_violation(Rule::kOneFinalAnswer,
                         "call " + id + " has more than one outcome; it must have exactly one");
  call.outcome = outcome;
  call.ended_at = now;
  --pending_calls_;
  if (outcome == CallOutcome::kConnectionClosed) ++closed_connections_;
  if (outcome == CallOutcome::kUnanswered) {
    add_violation(Rule::kFinalAnswerInTime,
                  "call " + id + " to node " + nodes_[call.node] + " has no final answer after " +
                      milliseconds(now - call.sent_at) + "; its timeout is " + milliseconds(call.timeout));
  }
}

std::optional<InvariantChecker::AttemptIndex> InvariantChecker::attempt_arrived(
    const std::string& id, std::size_t server, double now, std::function<bool()> is_connected) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    add_violation(Rule::kRequestSentByClient,
                  "server " + servers_[server] + " received request id '" + id + "', which no client sent");
    return std::nullopt;
  }
  Call& call = found->second;
  check_hedging(id, call, now);
  check_idempotency(id, call, now);
  check_after_outcome(id, call, now);
  check_draining(id, call, server, now);
  call.attempts.push_back({server, now, 0, AttemptOutcome::kInFlight, std::move(is_connected)});
  return call.attempts.size() - 1;
}

// An earlier attempt whose connection the node has closed is no longer in flight, even if its server has not
// processed the close yet.
void InvariantChecker::check_hedging(const std::string& id, Call& call, double now) {
  for (AttemptIndex index = 0; index < call.attempts.size(); ++index) {
    const Attempt& earlier = call.attempts[index];
    if (earlier.outcome != AttemptOutcome::kInFlight) continue;
    if (!earlier.is_connected()) {
      attempt_ended(id, index, AttemptOutcome::kAbandoned, now);
    } else if (!rules_.allow_hedging) {
      add_violation(Rule::kOneAttemptInFlight,
                    "node " + nodes_[call.node] + " started a second attempt for call " + id +
                        " while one was in flight to server " + servers_[earlier.server] +
                        "; the settings do not allow hedged requests");
    }
  }
}

void InvariantChecker::check_idempotency(const std::string& id, const Call& call, double now) {
  const ClassSpec& spec = rules_.classes[call.request_class];
  if (spec.idempotency == Idempotency::kIdempotent) return;
  const auto may_be_processed = [](const Attempt& attempt) {
    return attempt.outcome != AttemptOutcome::kRejected;
  };
  // The deduplication window starts with the first attempt that a server may have processed.
  const auto first = std::find_if(call.attempts.begin(), call.attempts.end(), may_be_processed);
  if (first == call.attempts.end()) return;
  if (spec.idempotency == Idempotency::kNonIdempotent) {
    return add_violation(Rule::kIdempotency,
                         "node " + nodes_[call.node] + " retried call " + id +
                             ", which is not idempotent, after an attempt that a server may have processed");
  }
  if (now > first->arrived_at + spec.dedup_window + kSocketSlackSeconds + event_loop_delay_) {
    add_violation(Rule::kIdempotency, "node " + nodes_[call.node] + " retried call " + id + " " +
                                          milliseconds(now - first->arrived_at) +
                                          " after an attempt that a server may have processed; the "
                                          "deduplication window is " +
                                          milliseconds(spec.dedup_window));
  }
}

void InvariantChecker::check_after_outcome(const std::string& id, const Call& call, double now) {
  if (call.outcome == CallOutcome::kPending) return;
  const double late = now - call.ended_at - kSocketSlackSeconds - event_loop_delay_;
  if (call.outcome != CallOutcome::kClientDisconnected) {
    if (late > 0)
      add_violation(Rule::kNoAttemptAfterFinalAnswer,
                    "an attempt for call " + id + " arrived at a server after the final answer of the call");
  } else if (late > kDisconnectReactionSeconds &&
             ++attempts_after_disconnect_ > kMaxAttemptsAfterDisconnect) {
    add_violation(Rule::kNoAttemptAfterDisconnect, "an attempt for call " + id + " arrived at a server " +
                                                       milliseconds(now - call.ended_at) +
                                                       " after the client disconnected");
  }
}

void InvariantChecker::check_draining(const std::string& id, const Call& call, std::size_t server,
                                      double now) {
  const std::map<std::string, double>& draining = draining_since_[call.node];
  const auto since = draining.find(servers_[server]);
  if (since == draining.end() || now < since->second) return;
  const double after = now - since->second;
  double& latest = latest_attempt_after_notification_[server];
  latest = std::max(latest, after);
  if (after > rules_.drain_grace + kSocketSlackSeconds + event_loop_delay_) {
    add_violation(Rule::kDraining, "node " + nodes_[call.node] + " sent call " + id + " to server " +
                                       servers_[server] + " " + milliseconds(after) +
                                       " after the node was notified that the server is draining or removed");
  }
}

void InvariantChecker::attempt_ended(const std::string& id, AttemptIndex index, AttemptOutcome outcome,
                                     double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || index >= found->second.attempts.size()) return;
  Attempt& attempt = found->second.attempts[index];
  if (attempt.outcome != AttemptOutcome::kInFlight) return;
  attempt.outcome = outcome;
  attempt.ended_at = now;
  attempt.is_connected = nullptr;
}

void InvariantChecker::server_notified(std::size_t node, const std::string& server, bool is_usable,
                                       double at) {
  if (is_usable) {
    draining_since_[node].erase(server);
  } else {
    draining_since_[node].try_emplace(server, at);
  }
}

void InvariantChecker::close(double now) {
  for (auto& [id, call] : calls_) {
    if (call.outcome == CallOutcome::kPending) call_ended(id, CallOutcome::kUnanswered, now);
    for (Attempt& attempt : call.attempts) {
      attempt.is_connected = nullptr;  // its captures may be destroyed before the checker
      if (attempt.outcome == AttemptOutcome::kInFlight) attempt.ended_at = now;
    }
  }
  if (closed_connections_ * kCallsPerClosedConnection > calls_.size()) {
    add_violation(Rule::kFinalAnswerInTime,
                  std::to_string(closed_connections_) + " of " + std::to_string(calls_.size()) +
                      " calls ended because the node closed the connection without a complete response; "
                      "at most 1 in " +
                      std::to_string(kCallsPerClosedConnection) + " may");
  }
}

}  // namespace nettleyoke::lab
