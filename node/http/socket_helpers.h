/// @file
/// System calls on a socket that never wait, for both sides of the node. They own nothing and report errors
/// through `errno`, as the calls beneath them do.
#pragma once

#include <sys/socket.h>
#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstddef>

namespace nettleyoke::node {

/// Whether the last call on a socket failed only because it would have had to wait.
[[nodiscard]] inline bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

/// Whether the peer has closed the connection, broken it or sent bytes that nobody has read. It asks the
/// system, because the event loop may not have come to the notification yet.
[[nodiscard]] inline bool is_readable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || !would_block();
}

/// Writes as much as the socket takes now and raises no signal.
/// @return the number of bytes written, or a negative number with `errno` set.
[[nodiscard]] inline ssize_t send_without_waiting(boost::asio::ip::tcp::socket& socket, const char* bytes,
                                                  std::size_t count) {
  return ::send(socket.native_handle(), bytes, count, MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace nettleyoke::node
