/// @file
/// One connection to one server. Owns the socket, the timer for connecting and idling, and the read buffer.
/// Its pool decides which attempt uses it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>

#include "clock.h"
#include "http/message.h"

namespace nettleyoke::node {

class ServerPool;

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::io_context& io, std::shared_ptr<ServerPool> pool);

  /// Starts to connect. Calls the pool's on_connected() when the connect completes and when the timeout
  /// expires; finish_connecting() accepts only the first of the two.
  /// @param timeout s
  void connect(const boost::asio::ip::tcp::endpoint& endpoint, double timeout);
  /// Ends the connecting state.
  /// @return false if it had ended before: the timer and the connect can both complete
  [[nodiscard]] bool finish_connecting();
  /// Records which process of the server the connection leads to.
  void set_incarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  /// Call when the connection is established, before it carries a request.
  void set_socket_options();

  /// Marks the connection as idle. The pool drops it when the server closes it or sends bytes, and in any
  /// case before the server's idle timeout.
  /// @param reusable_at end of the quarantine
  /// @param idle_timeout s, of the server
  void start_idling(Clock::Steady::time_point reusable_at, double idle_timeout);
  /// Marks the connection as used by an attempt.
  void stop_idling();
  /// Closes the connection. Resets it if the server's system has not acknowledged all of the last request, so
  /// that the server never gets the rest.
  void close();
  /// The bytes that were written and that the server's system has not acknowledged. It may lack some of them.
  [[nodiscard]] int unacknowledged_bytes();

  bool is_idle() const { return state_ == State::kIdle; }
  bool is_in_quarantine(Clock::Steady::time_point now) const { return reusable_at_ > now; }
  /// Whether an idle connection can be used: it has not expired, and the operating system has received
  /// neither a close nor bytes from the server.
  [[nodiscard]] bool is_healthy(Clock::Steady::time_point now);
  /// Whether the server has closed the connection or sent bytes that belong to no request.
  [[nodiscard]] bool has_unexpected_input();
  Clock::Steady::time_point idle_expires_at() const { return timer_.expiry(); }
  /// Releases the memory of the read buffer if it is larger than an idle connection may keep.
  void trim_buffer();

  std::uint64_t incarnation() const { return incarnation_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  const std::shared_ptr<ServerPool>& pool() const { return pool_; }
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }

 private:
  enum class State { kConnecting, kInUse, kIdle, kClosed };

  /// Maximum unparsed bytes of a response: a complete head and some more. This also bounds a line without
  /// end, such as a chunk extension: the parser requests more of it as long as the buffer has space.
  static constexpr std::size_t kMaxUnparsedBytes = kHeaderLimit + 16 * 1024;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // timeout of the connect, then of idling
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::shared_ptr<ServerPool> pool_;
  boost::asio::ip::tcp::endpoint endpoint_;
  State state_ = State::kConnecting;
  std::uint64_t incarnation_ = 0;
  std::uint64_t idle_generation_ = 0;  // number of the idle period; handlers of earlier ones have no effect
  Clock::Steady::time_point reusable_at_;
};

}  // namespace nettleyoke::node
