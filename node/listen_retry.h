/// @file
/// Opens a listening socket, and retries while its address is in use.
///
/// When a node is stopped and restarted at once, the old process still holds the address while it shuts down
/// gracefully. If the new process ended because of that, it would count as a crash.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "clock.h"

namespace nettleyoke::node {

class ListenRetry {
 public:
  /// Opens the socket; throws boost::system::system_error if that fails.
  using Listen = std::function<void()>;
  using Done = std::function<void(boost::system::error_code error)>;

  ListenRetry(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  /// Calls `listen` until it succeeds, fails with an error other than "address in use", or the time limit has
  /// passed. Then calls `done` with the last error, if any, possibly before this call returns. After cancel()
  /// neither is called again.
  void start(Listen listen, Done done);
  void cancel() { timer_.cancel(); }

 private:
  void try_listen();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  Listen listen_;
  Done done_;
};

}  // namespace nettleyoke::node
