/// What a node runs on: its event loop, the signals it answers to, its clock and its memory budget.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "clock.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

/// Has to be made before anything else: a signal that came before it would end the process by the system's
/// default. One that comes between here and the first wait for it is kept for that wait.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs handlers until the loop is stopped or has nothing more to do.
  ///
  /// An exception that gets past a handler costs what that handler was about, not the node: each request has
  /// a timer of its own that answers it in time. The first one is logged.
  void run();
  void stop() { io_.stop(); }

  boost::asio::io_context& io() { return io_; }
  MemoryBudget& memory_budget() { return memory_budget_; }
  const Clock& clock() const { return clock_; }
  /// SIGHUP.
  boost::asio::signal_set& reload_signals() { return reload_signals_; }
  /// SIGTERM and SIGINT.
  boost::asio::signal_set& stop_signals() { return stop_signals_; }

 private:
  MemoryBudget memory_budget_;  // outlives what is left in the event loop at the end
  boost::asio::io_context io_;
  boost::asio::signal_set reload_signals_;
  boost::asio::signal_set stop_signals_;
  Clock clock_;
};

}  // namespace nettleyoke::node
