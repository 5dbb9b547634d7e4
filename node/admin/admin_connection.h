/// @file
/// One connection to the admin server: reads one command, sends one reply, then closes.
///
/// Owns the socket and its deadlines. The owner's callback produces the reply.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "clock.h"

namespace nettleyoke::node {

class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  struct Callbacks {
    std::function<std::string(std::string_view line)> reply_to;  ///< executes a command
    std::function<void()> closed;  ///< called once, as the last callback; not called after detach()
  };

  AdminConnection(boost::asio::ip::tcp::socket socket, Callbacks callbacks);

  void start();
  /// Whether the reply has begun or unread bytes have arrived. Bytes of an incomplete command that this
  /// connection has already read do not count.
  [[nodiscard]] bool has_input();
  void close();
  /// Removes the callbacks. The connection closes when no pending operation of the event loop refers to it.
  void detach();

 private:
  enum class State { kReading, kReplying, kDetached };

  static constexpr std::size_t kMaxLineBytes = 512;

  void set_deadline(Clock::Steady::duration timeout);
  void on_deadline();
  void on_line(boost::system::error_code error, std::size_t length);
  void reply_to_incomplete_line();
  void reply(std::string text);
  void discard_input();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_timer_;
  Callbacks callbacks_;
  boost::asio::streambuf input_{kMaxLineBytes};
  std::string reply_;
  std::array<char, kMaxLineBytes> discard_buffer_{};
  State state_ = State::kReading;
};

}  // namespace nettleyoke::node
