/// One operator's connection: one call, one reply, then the close.
///
/// Owns the socket and its deadlines. What the reply says is its owner's.
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
    std::function<std::string(std::string_view line)> reply_to;
    std::function<void()> closed;  ///< once, unless detached before; the connection does nothing after it
  };

  AdminConnection(boost::asio::ip::tcp::socket socket, Callbacks callbacks);

  void start();
  /// Whether anything has come from the caller.
  [[nodiscard]] bool has_input();
  void close();
  /// Ends all callbacks; the connection closes once nothing in the event loop holds it.
  void detach();

 private:
  enum class State { kReading, kReplying, kDetached };

  static constexpr std::size_t kMaxLineBytes = 512;

  void close_unless_done_within(Clock::Steady::duration patience);
  void on_deadline();
  void on_line(boost::system::error_code error, std::size_t length);
  void reply_to_incomplete_line();
  void reply(std::string text);
  void discard_input();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  Callbacks callbacks_;
  boost::asio::streambuf line_{kMaxLineBytes};
  std::string reply_;
  std::array<char, kMaxLineBytes> discarded_{};
  State state_ = State::kReading;
};

}  // namespace nettleyoke::node
