/// @file
/// Sockets on loopback and one-shot timers, as the lab's client and stand-ins use them. Knows nothing of
/// HTTP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

namespace nettleyoke::lab::net {

/// Small messages leave at once. An error shows with the next read.
void set_no_delay(boost::asio::ip::tcp::socket& socket);

/// Closes a socket whatever state it is in.
void close(boost::asio::ip::tcp::socket& socket);

/// Closes a socket so that its peer gets a reset, as from a process that has crashed.
void reset(boost::asio::ip::tcp::socket& socket);

/// Whether the peer still has its side open. The end of a connection shows here before the event loop brings
/// it.
[[nodiscard]] bool is_peer_connected(boost::asio::ip::tcp::socket& socket);

/// Calls `action` once after so many seconds, unless the event loop ends before.
void run_after(boost::asio::io_context& io, double seconds, std::function<void()> action);

/// Accepts connections on a free port of 127.0.0.1. It can be closed and opened again, at another port.
class LoopbackListener {
 public:
  using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit LoopbackListener(boost::asio::io_context& io) : acceptor_(io) {}

  /// @throws boost::system::system_error when no port can be had
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
