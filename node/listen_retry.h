/// Opens a listening socket, again and again while its address is in use.
///
/// A node that is told to end and started anew at once finds its own address taken by the process that serves
/// to its end, and ending for that would count as a crash.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "clock.h"

namespace nettleyoke::node {

class ListenRetry {
 public:
  /// Throws boost::system::system_error where the address can't be listened on.
  using Listen = std::function<void()>;
  using Done = std::function<void(boost::system::error_code error)>;

  ListenRetry(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  /// Calls `listen` until it succeeds, fails otherwise than for an address in use, or the time is over; then
  /// `done` with the last error, which may be from within this call. Without either after cancel().
  void start(Listen listen, Done done);
  void cancel() { timer_.cancel(); }

 private:
  void attempt();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  Listen listen_;
  Done done_;
};

}  // namespace nettleyoke::node
