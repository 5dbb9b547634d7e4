/// @file
/// Connects a host with its Balancer: owns the Balancer and the event queue, passes events to the Balancer
/// one at a time, and calls the host to execute the resulting actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <exception>
#include <string>

#include "clock.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Implemented by a host: executes the Balancer's actions and handles errors of the Balancer.
class ActionExecutor {
 public:
  ActionExecutor() = default;
  ActionExecutor(const ActionExecutor&) = delete;
  ActionExecutor& operator=(const ActionExecutor&) = delete;
  virtual ~ActionExecutor() = default;

  virtual void execute(const StartAttempt& action) = 0;
  virtual void execute(const Reject& action) = 0;
  virtual void execute(const Fail& action) = 0;
  virtual void execute(const CancelAttempt& action) = 0;
  virtual void execute(const SetTimer& action) = 0;
  virtual void execute(const WatchMembership& action) = 0;
  virtual void execute(const LogLine& action) = 0;

  /// The Balancer threw an exception. The actions that it had added before are executed next. Called from
  /// the `catch` block, so that an implementation can rethrow with `throw;`.
  virtual void on_decision_failed(const std::exception& error) = 0;
  /// Executing an action threw an exception. The remaining actions of the event are not executed. Called from
  /// the `catch` block.
  virtual void on_execution_failed(const std::exception& error) = 0;
  /// The Balancer threw an exception for this event, and the actions that it had added are executed.
  virtual void after_failed_decision(const Event& event) = 0;
};

class DecisionLoop {
 public:
  /// @param clock must outlive the loop
  /// @param executor must outlive the loop
  /// @throws std::invalid_argument if the settings are invalid
  DecisionLoop(const Clock& clock, const Settings& settings, std::uint64_t seed, ActionExecutor& executor);

  /// Passes the event to the Balancer: immediately, or, if called while an event is being handled, after that
  /// event. The Balancer is never called recursively.
  void enqueue_event(Event event);
  /// See Balancer::may_retry_incomplete_response().
  [[nodiscard]] bool may_retry_incomplete_response(const std::string& id) {
    return balancer_.may_retry_incomplete_response(clock_.now(), id);
  }
  std::size_t unavailable_servers() const { return balancer_.unavailable_server_count(clock_.now()); }

 private:
  void handle(const Event& event);

  const Clock& clock_;
  Balancer balancer_;
  ActionExecutor& executor_;
  std::deque<Event> events_;
  bool is_handling_ = false;
};

}  // namespace nettleyoke::node
