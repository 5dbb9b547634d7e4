/// @file
/// The phases in which a node stops serving. Owns the phase, when the last answer is due, and what is called
/// at the end; has the admission close the listener and the connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "clock.h"
#include "dispatch/dispatcher.h"
#include "downstream/request_catalog.h"

namespace nettleyoke::node {

class ConnectionAdmission;

/// The process is killed once the longest time that a client waits, or 3 s, and 0.7 s more have gone by: by
/// then all that was accepted is answered. Clients go on using their connections as long as these stay open,
/// and where no other node stands beside this one they have nowhere else to go.
class GracefulShutdown {
 public:
  using Seconds = std::chrono::duration<double>;

  GracefulShutdown(boost::asio::io_context& io, ConnectionAdmission& admission, Dispatcher& dispatcher)
      : io_(io), admission_(admission), dispatcher_(dispatcher) {}
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  /// Begins; does nothing when it has begun.
  /// @param catalog  its classes in force say how long clients wait.
  /// @param done  posted to the event loop once no listener and no connection is left.
  void start(const RequestCatalog& catalog, std::function<void()> done);
  /// Posts `done` if nothing is left.
  void finish_if_drained();

  bool is_draining() const { return phase_ != Phase::kServing; }
  /// Whether each connection closes with its next answer, or soon where none is due.
  bool is_closing_connections() const { return phase_ == Phase::kClosingConnections; }
  /// Whether a successor serves on the same listener: each client is sent there with its next answer.
  bool is_handing_over() const;
  /// Until the last answer has to be written; of use while draining.
  Seconds time_until_last_answer() const { return last_answer_due_ - Clock::Steady::now(); }

 private:
  enum class Phase {
    kServing,
    kDraining,            ///< accepts for a while and serves for a while longer
    kClosingConnections,  ///< see is_closing_connections()
  };

  template <typename Step>
  void run_after(Seconds delay, Step step);
  void close_idle_connections();

  boost::asio::io_context& io_;
  ConnectionAdmission& admission_;
  Dispatcher& dispatcher_;
  Phase phase_ = Phase::kServing;
  Clock::Steady::time_point last_answer_due_;
  std::function<void()> done_;
};

}  // namespace nettleyoke::node
