/// @file
/// The event loop of a node, with the signals that it handles, its clock and its memory budget.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "clock.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

/// Construct it before anything else: a signal that arrives earlier ends the process, which is the system's
/// default. A signal that arrives after construction and before the first wait for it is kept for that wait.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs handlers until the loop is stopped or has nothing more to do.
  ///
  /// An exception that escapes a handler ends the work of that handler only, not the node: each request has
  /// its own timer, which gives it a final answer in time. Only the first exception is logged.
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
  MemoryBudget memory_budget_;  // outlives the handlers that are left in `io_`, which hold reservations
  boost::asio::io_context io_;
  boost::asio::signal_set reload_signals_;
  boost::asio::signal_set stop_signals_;
  Clock clock_;
};

}  // namespace nettleyoke::node
