/// @file
/// The phases of a graceful shutdown. Owns the phase, the time when the last response is due, and the
/// completion callback; ConnectionAdmission closes the listener and the connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "clock.h"
#include "dispatch/dispatcher.h"
#include "downstream/request_catalog.h"

namespace nettleyoke::node {

class ConnectionAdmission;

/// After the start of a shutdown, the process is killed once the longest client timeout (3 s if it is longer)
/// and another 0.7 s have passed. Each accepted request must have its response by then. Clients keep using
/// their connections for as long as these stay open, and without a second node they have no alternative.
class GracefulShutdown {
 public:
  using Seconds = std::chrono::duration<double>;

  GracefulShutdown(boost::asio::io_context& io, ConnectionAdmission& admission, Dispatcher& dispatcher)
      : io_(io), admission_(admission), dispatcher_(dispatcher) {}
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  /// Starts the shutdown; no effect if it has started.
  /// @param catalog  the client timeouts of its classes in force determine how long the shutdown takes.
  /// @param done  posted to the event loop once no listener and no connection is left.
  void start(const RequestCatalog& catalog, std::function<void()> done);
  /// Posts `done` once, if the shutdown has started and no listener and no connection is left.
  void finish_if_complete();

  bool is_shutting_down() const { return phase_ != Phase::kServing; }
  /// Whether each connection closes after its next response, or soon if no response is due.
  bool is_closing_connections() const { return phase_ == Phase::kClosingConnections; }
  /// Whether this process shuts down while others serve on the same listener: each connection then closes
  /// after its next response, so that its client connects to one of them.
  bool is_handing_over() const;
  /// Time until the last response must have been written; valid during the shutdown only.
  Seconds time_until_last_response() const { return last_response_due_ - Clock::Steady::now(); }

 private:
  enum class Phase {
    kServing,
    kShuttingDown,        ///< accepts for a while and serves a while longer
    kClosingConnections,  ///< see is_closing_connections()
  };

  template <typename Step>
  void run_after(Seconds delay, Step step);
  void close_idle_connections();

  boost::asio::io_context& io_;
  ConnectionAdmission& admission_;
  Dispatcher& dispatcher_;
  Phase phase_ = Phase::kServing;
  Clock::Steady::time_point last_response_due_;
  std::function<void()> done_;
};

}  // namespace nettleyoke::node
