/// @file
/// Loopback sockets and one-shot timers for the lab's client and stand-ins. Independent of HTTP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

namespace nettleyoke::lab::net {

/// Sets TCP_NODELAY, so that small messages are sent immediately. Ignores errors: the next read reports them.
void set_no_delay(boost::asio::ip::tcp::socket& socket);

/// Closes a socket in any state; ignores errors.
void close(boost::asio::ip::tcp::socket& socket);

/// Closes a socket with a TCP reset, as the crash of a process does.
void reset(boost::asio::ip::tcp::socket& socket);

/// Whether the peer has not closed its side. Reads the socket's state directly, so that a close is detected
/// before the event loop reports it.
[[nodiscard]] bool is_peer_connected(boost::asio::ip::tcp::socket& socket);

/// Calls `action` once after `seconds`, unless the event loop ends first.
void run_after(boost::asio::io_context& io, double seconds, std::function<void()> action);

/// Accepts connections on a free port of 127.0.0.1. After close() it can be opened again, on another port.
class LoopbackListener {
 public:
  using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit LoopbackListener(boost::asio::io_context& io) : acceptor_(io) {}

  /// @throws boost::system::system_error if no port is available
  void open(OnConnection on_connection);
  void close();
  bool is_open() const { return acceptor_.is_open(); }
  boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  OnConnection on_connection_;
};

}  // namespace nettleyoke::lab::net
