/// @file
/// What happened to every call, as clients, servers and discovery saw it, and the rules that nodes must keep.
/// The checker is told of events and compares them; it opens no socket and starts no timer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "run/experiment.h"

namespace nettleyoke::lab {

/// How a call ended, as its client saw it.
enum class CallOutcome {
  kPending,
  kServed,
  kRejected,
  kFailed,
  kConnectionClosed,    ///< the node closed its connection without a complete response
  kClientDisconnected,  ///< the client closed first
  kUnanswered           ///< no final response in its time
};

/// How an attempt ended, as its server saw it.
enum class AttemptOutcome {
  kInFlight,
  kServed,
  kServerError,
  kRejected,   ///< not processed
  kAbandoned,  ///< the node closed its connection
  kReset       ///< the server reset the connection
};

/// What a node must keep to.
enum class Rule {
  kOneAnswer,               ///< a call has one final response, and it is a server's
  kFinalAnswer,             ///< a call has a final response in its time
  kKnownRequest,            ///< servers get only what clients sent
  kOneAttemptInFlight,      ///< no hedging where the settings don't allow it
  kIdempotency,             ///< what may have run is not retried past what its class allows
  kNothingAfterAnswer,      ///< no attempt after the final response
  kNothingAfterDisconnect,  ///< no attempt after the client disconnected
  kDraining,                ///< no new attempt to a draining server
  kOneRequestPerConnection,
  kNoCrash,
  kGracefulShutdown
};

/// The word of results for a rule.
const char* word_for(Rule rule);

/// Records calls and attempts and counts violations of the rules. Times are seconds on the lab's clock.
class InvariantChecker {
 public:
  struct Rules {
    double answer_slack = 0;  ///< s past its timeout in which a call's response still counts
    double drain_grace = 0;   ///< s after a notification in which a drained server may get new attempts
    bool allow_hedging = false;
    std::vector<ClassSpec> classes;
  };
  struct Attempt {
    std::size_t server = 0;
    double arrived_at = 0, ended_at = 0;
    AttemptOutcome outcome = AttemptOutcome::kInFlight;
    std::function<bool()> is_connected;  ///< whether its node could still get a response; empty once it ended
  };
  struct Call {
    std::size_t node = 0, request_class = 0;
    double sent_at = 0, timeout = 0, ended_at = 0;
    CallOutcome outcome = CallOutcome::kPending;
    std::vector<Attempt> attempts;
  };
  /// The position of an attempt among those of its call.
  using AttemptIndex = std::size_t;

  explicit InvariantChecker(Rules rules) : rules_(std::move(rules)) {}

  /// Nodes and servers have the numbers in which they were added.
  std::size_t add_node(const std::string& name);
  std::size_t add_server(const std::string& name);
  const std::vector<std::string>& nodes() const { return nodes_; }
  const std::vector<std::string>& servers() const { return servers_; }

  /// Sets how late the lab's event loop was lately, in s: limits grow by this, for no node answers for it.
  void set_event_loop_delay(double seconds) { event_loop_delay_ = seconds; }

  /// A client sent a call that it waits `timeout` s for.
  void call_sent(const std::string& id, std::size_t node, std::size_t request_class, double timeout,
                 double now);
  void call_ended(const std::string& id, CallOutcome outcome, double now);
  /// The time until which a response to a call counts.
  double answer_deadline(double sent_at, double timeout) const {
    return sent_at + timeout + rules_.answer_slack;
  }

  /// A server got the last byte of an attempt.
  /// @param is_connected says whether the node's connection is still open
  /// @return nothing when no client sent such a call, which is a violation
  std::optional<AttemptIndex> attempt_arrived(const std::string& id, std::size_t server, double now,
                                              std::function<bool()> is_connected);
  void attempt_ended(const std::string& id, AttemptIndex index, AttemptOutcome outcome, double now);

  /// From `at` on a node counts as notified that a server may get new attempts, or must not.
  void server_notified(std::size_t node, const std::string& server, bool is_usable, double at);

  /// Records a violation that was seen elsewhere.
  void add_violation(Rule rule, const std::string& text);

  /// Ends the record: a call that is still pending has had no final response.
  void close(double now);

  const std::unordered_map<std::string, Call>& calls() const { return calls_; }
  std::size_t pending_calls() const { return pending_calls_; }
  /// How often each rule was violated, by its word.
  const std::map<std::string, std::size_t>& violations() const { return violations_; }
  const std::vector<std::string>& first_violations() const { return first_violations_; }
  /// By server: the longest after a node was notified of its draining that it got a new attempt, in s.
  const std::map<std::size_t, double>& latest_attempt_after_notification() const {
    return latest_attempt_after_notification_;
  }

 private:
  void check_hedging(const std::string& id, Call& call, double now);
  void check_idempotency(const std::string& id, const Call& call, double now);
  void check_after_outcome(const std::string& id, const Call& call, double now);
  void check_draining(const std::string& id, const Call& call, std::size_t server, double now);

  Rules rules_;
  std::vector<std::string> nodes_, servers_;
  std::vector<std::map<std::string, double>> draining_since_;  // by node: servers that get nothing new since
  std::unordered_map<std::string, Call> calls_;
  std::size_t pending_calls_ = 0, closed_connections_ = 0, attempts_after_disconnect_ = 0;
  double event_loop_delay_ = 0;
  std::map<std::size_t, double> latest_attempt_after_notification_;
  std::map<std::string, std::size_t> violations_;
  std::vector<std::string> first_violations_;
};

}  // namespace nettleyoke::lab
