/// @file
/// Non-blocking system calls on sockets, for connections to clients and to servers. They report errors
/// through `errno`, as the system calls do.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstddef>
#include <limits>

namespace nettleyoke::node {

/// Whether the last socket call failed only because it would have blocked.
[[nodiscard]] inline bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

/// Whether the peer has closed or reset the connection, or has sent bytes that are not read yet. Asks the
/// operating system, because the event loop may not have handled the notification yet.
[[nodiscard]] inline bool is_readable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || !would_block();
}

/// Counts the bytes that were written to the socket and that the peer's system has not acknowledged. It may
/// lack some of them, which the operating system goes on sending.
/// @return the largest number if the operating system can't tell
[[nodiscard]] inline int unacknowledged_bytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : std::numeric_limits<int>::max();
}

/// Sets whether the end of the socket, also by the end of the process, discards the bytes that it has not
/// sent yet and resets the connection. Otherwise the operating system sends them after the close. This is no
/// Boost.Asio option, because the destructor of a Boost.Asio socket withdraws that.
inline void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled) {
  const linger option{enabled ? 1 : 0, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

/// Writes as many bytes as the socket accepts at once. Raises no SIGPIPE.
/// @return the number of bytes written, or a negative number with `errno` set
[[nodiscard]] inline ssize_t send_without_waiting(boost::asio::ip::tcp::socket& socket, const char* bytes,
                                                  std::size_t count) {
  return ::send(socket.native_handle(), bytes, count, MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace nettleyoke::node
