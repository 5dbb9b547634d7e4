/// @file
/// Between a host and its Balancer: it owns the Balancer and the queue of events, hands over one event at a
/// time and lets the host execute the actions. It never executes one itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <exception>

#include "clock.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// What a host does with the Balancer's actions, and with failures of it.
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

  /// The Balancer threw; the actions it had asked for before are executed next. To be called from within the
  /// handler of the exception, as the next one too: `throw;` passes it on.
  virtual void on_decision_failed(const std::exception& problem) = 0;
  /// Executing an action threw; what followed of the event's actions is lost.
  virtual void on_execution_failed(const std::exception& problem) = 0;
  /// The Balancer threw over this event, and the actions it had asked for are executed.
  virtual void after_failed_decision(const Event& event) = 0;
};

class DecisionLoop {
 public:
  /// @param executor outlives the loop, as the clock does
  /// @throws std::invalid_argument when the settings cannot be used.
  DecisionLoop(const Clock& clock, const Settings& settings, std::uint64_t seed, ActionExecutor& executor);

  /// Hands the event to the Balancer, now or, from within the execution of an action, as soon as that is
  /// over: the Balancer is never called from within itself.
  void enqueue_event(Event event);
  std::size_t unavailable_servers() const { return balancer_.unavailable_servers(clock_.now()); }

 private:
  void handle(const Event& event);

  const Clock& clock_;
  Balancer balancer_;
  ActionExecutor& executor_;
  std::deque<Event> events_;
  bool is_handling_ = false;
};

}  // namespace nettleyoke::node
