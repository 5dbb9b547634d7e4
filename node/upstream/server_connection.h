/// @file
/// One connection to one server. It owns the socket, the timer of connecting and idling, and the read buffer;
/// it never decides who uses it next, which is its pool's part.
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

  /// Starts to connect; the pool's on_connected() hears of the result, or of the timeout, once.
  /// @param timeout s
  void connect(const boost::asio::ip::tcp::endpoint& endpoint, double timeout);
  /// Ends the wait for the connect.
  /// @return false if it had ended before: the timer and the connect can both complete.
  [[nodiscard]] bool finish_connecting();
  /// Notes which process of the server it leads to.
  void set_incarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  void disable_nagle();

  /// From here on it carries nothing. The pool drops it when the server closes it or speaks unasked, or
  /// before the server's own idle timeout.
  /// @param idle_timeout s, of the server
  void start_idling(Clock::Steady::time_point reusable_at, double idle_timeout);
  /// From here on it carries an attempt.
  void stop_idling();
  void close();

  bool is_idle() const { return state_ == State::kIdle; }
  bool is_in_quarantine(Clock::Steady::time_point now) const { return reusable_at_ > now; }
  /// Whether an idle connection can still carry a request, as far as this machine knows.
  [[nodiscard]] bool is_healthy(Clock::Steady::time_point now);
  /// Whether the server has closed it or sent bytes that nobody asked for.
  [[nodiscard]] bool has_unexpected_input();
  Clock::Steady::time_point idle_expires_at() const { return timer_.expiry(); }
  /// Gives back the memory of a read buffer that is larger than an idle connection may keep.
  void trim_buffer();

  std::uint64_t incarnation() const { return incarnation_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  const std::shared_ptr<ServerPool>& pool() const { return pool_; }
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }

 private:
  enum class State { kConnecting, kInUse, kIdle, kClosed };

  /// Bytes of a response that may wait to be parsed: a complete head and some more. A parser asks for more of
  /// a line that does not end, as in the extension of a chunk, for as long as the buffer takes it.
  static constexpr std::size_t kMaxUnparsedBytes = kHeaderLimit + 16 * 1024;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // for the connect, then for idling
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::shared_ptr<ServerPool> pool_;
  boost::asio::ip::tcp::endpoint endpoint_;
  State state_ = State::kConnecting;
  std::uint64_t incarnation_ = 0;
  std::uint64_t idle_generation_ = 0;  // tells a wait of this idling from one of an earlier one
  Clock::Steady::time_point reusable_at_;
};

}  // namespace nettleyoke::node
