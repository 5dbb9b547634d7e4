/// @file
/// Records every call as observed by clients, servers and discovery, and checks it against the rules for
/// nodes. The checker receives events and compares them; it opens no socket and starts no timer.
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

/// The outcome of a call, as its client observed it.
enum class CallOutcome {
  kPending,
  kServed,
  kRejected,
  kFailed,
  kConnectionClosed,    ///< the node closed its connection without a complete response
  kClientDisconnected,  ///< the client closed the connection before the response
  kUnanswered           ///< no final answer before its deadline
};

/// The outcome of an attempt, as its server observed it.
enum class AttemptOutcome {
  kInFlight,
  kServed,
  kServerError,
  kRejected,   ///< not processed
  kAbandoned,  ///< the node closed its connection
  kReset       ///< the server reset the connection
};

/// The invariants of a node.
enum class Rule {
  kOneFinalAnswer,       ///< a call has one final answer; a served one carries a server's response to it
  kFinalAnswerInTime,    ///< a call has a final answer before its deadline
  kRequestSentByClient,  ///< servers receive only requests that clients sent
  kOneAttemptInFlight,   ///< no hedged requests unless the settings allow them
  kIdempotency,  ///< after an attempt that may have been processed, only the retries that its class allows
  kNoAttemptAfterFinalAnswer,  ///< no attempt after the final answer
  kNoAttemptAfterDisconnect,   ///< no attempt after the client disconnected
  kDraining,                   ///< no new attempt to a draining or removed server
  kOneRequestPerConnection,    ///< a connection to a server carries one request at a time
  kNoCrash,
  kGracefulShutdown
};

/// The name of a rule in result files.
const char* rule_name(Rule rule);

/// Records calls and attempts and counts violations of the rules. Times are seconds on the lab's clock.
class InvariantChecker {
 public:
  struct Rules {
    double answer_slack = 0;  ///< s after a call's timeout in which its response still counts
    double drain_grace = 0;   ///< s after the notification while a draining server may get new attempts
    bool allow_hedging = false;
    std::vector<ClassSpec> classes;
  };
  struct Attempt {
    std::size_t server = 0;
    double arrived_at = 0, ended_at = 0;
    AttemptOutcome outcome = AttemptOutcome::kInFlight;
    std::function<bool()> is_connected;  ///< whether its node's connection is open; empty once it ended
  };
  struct Call {
    std::size_t node = 0, request_class = 0;
    double sent_at = 0, timeout = 0, ended_at = 0;
    CallOutcome outcome = CallOutcome::kPending;
    std::vector<Attempt> attempts;
  };
  /// The index of an attempt in Call::attempts.
  using AttemptIndex = std::size_t;

  explicit InvariantChecker(Rules rules) : rules_(std::move(rules)) {}

  /// Adds a node or server.
  /// @return its number: 0 for the first one added, then 1 and so on
  std::size_t add_node(const std::string& name);
  std::size_t add_server(const std::string& name);
  const std::vector<std::string>& nodes() const { return nodes_; }
  const std::vector<std::string>& servers() const { return servers_; }

  /// Sets the recent delay of the lab's event loop in s. It is added to the time limits, because no node
  /// causes it.
  void set_event_loop_delay(double seconds) { event_loop_delay_ = seconds; }

  /// Records that a client sent a call and waits `timeout` s for its response.
  void call_sent(const std::string& id, std::size_t node, std::size_t request_class, double timeout,
                 double now);
  void call_ended(const std::string& id, CallOutcome outcome, double now);
  /// The latest time at which a response to a call counts.
  double response_deadline(double sent_at, double timeout) const {
    return sent_at + timeout + rules_.answer_slack;
  }

  /// Records that a server received the last byte of an attempt.
  /// @param is_connected returns whether the node's connection is still open
  /// @return nullopt if no client sent a call with this id; that is a violation
  std::optional<AttemptIndex> attempt_arrived(const std::string& id, std::size_t server, double now,
                                              std::function<bool()> is_connected);
  void attempt_ended(const std::string& id, AttemptIndex index, AttemptOutcome outcome, double now);

  /// Records that a node counts as notified from time `at` that a server may, or must not, get new attempts.
  void server_notified(std::size_t node, const std::string& server, bool is_usable, double at);

  /// Records a violation that another part of the lab detected.
  void add_violation(Rule rule, const std::string& text);

  /// Ends the recording: each call that is still pending counts as unanswered.
  void close(double now);

  const std::unordered_map<std::string, Call>& calls() const { return calls_; }
  std::size_t pending_calls() const { return pending_calls_; }
  /// The number of violations, by rule_name().
  const std::map<std::string, std::size_t>& violations() const { return violations_; }
  const std::vector<std::string>& first_violations() const { return first_violations_; }
  /// By server: the longest time in s from a node's notification of its draining or removal to a new attempt.
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
  // By node and server name: the time since when the server must not get new attempts.
  std::vector<std::map<std::string, double>> draining_since_;
  std::unordered_map<std::string, Call> calls_;
  std::size_t pending_calls_ = 0, closed_connections_ = 0, attempts_after_disconnect_ = 0;
  double event_loop_delay_ = 0;
  std::map<std::size_t, double> latest_attempt_after_notification_;
  std::map<std::string, std::size_t> violations_;
  std::vector<std::string> first_violations_;
};

}  // namespace nettleyoke::lab
