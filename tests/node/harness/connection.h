/// @file
/// One TCP connection of a test, as its client or its server: blocking, with whole HTTP messages read by
/// their Content-Length.
#pragma once

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <array>
#include <cctype>
#include <string>
#include <utility>

#include "harness/eventually.h"
#include "harness/file_descriptor.h"

namespace nettleyoke::node {

/// Owns the socket and the bytes that were read from it and not asked for yet.
class Connection {
 public:
  explicit Connection(FileDescriptor socket) : socket_(std::move(socket)) {}

  /// Connects to a port of the loopback interface; is_open() tells whether that worked.
  static Connection to(int port) {
    FileDescriptor socket = new_tcp_socket();
    if (!connect_to_loopback(socket, port)) socket.reset();
    return Connection(std::move(socket));
  }
  bool is_open() const { return socket_.get() >= 0; }
  int fd() const { return socket_.get(); }
  void close() { socket_.reset(); }

  /// Closes so that the peer gets an RST, not a FIN.
  void reset() {
    close_with_reset();
    socket_.reset();
  }
  /// Has a later close() end the connection with an RST.
  void close_with_reset() const {
    const linger no_linger{1, 0};
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  }

  /// Bytes that were written and that the peer's machine has not acknowledged; -1 where that is not known.
  int unacknowledged_bytes() const {
    int bytes = 0;
    return ::ioctl(socket_.get(), SIOCOUTQ, &bytes) == 0 ? bytes : -1;
  }

  /// Writes all of `text`; false where the connection has ended.
  bool write(const std::string& text) {
    std::size_t written = 0;
    while (written < text.size()) {
      const ssize_t sent = ::send(socket_.get(), text.data() + written, text.size() - written, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      written += static_cast<std::size_t>(sent);
    }
    return true;
  }
  /// Writes as much as the peer takes in: it may stop reading for good.
  void write_until_blocked(const std::string& text) {
    for (std::size_t written = 0; written < text.size();) {
      const ssize_t sent =
          ::send(socket_.get(), text.data() + written, text.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) written += static_cast<std::size_t>(sent);
      pollfd writable{socket_.get(), POLLOUT, 0};
      if (sent <= 0 && ::poll(&writable, 1, 500) <= 0) return;
    }
  }

  /// One complete message with a Content-Length (none: no body); empty at the end of the connection.
  std::string read_message() {
    for (;;) {
      const std::size_t head_end = received_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        const std::size_t size = head_end + 4 + content_length_in(received_.substr(0, head_end + 2));
        if (received_.size() >= size) {
          std::string message = received_.substr(0, size);
          received_.erase(0, size);
          return message;
        }
      }
      if (!receive_more()) return {};
    }
  }
  /// All bytes up to the end of the connection.
  std::string read_to_end() {
    while (receive_more()) {
    }
    return std::exchange(received_, {});
  }
  /// The bytes that come next; empty at the end of the connection.
  std::string read_some() {
    if (received_.empty()) receive_more();
    return std::exchange(received_, {});
  }
  /// Waits for bytes and keeps them for the next read; false at the end of the connection or after
  /// kWaitLimit.
  bool receive_more() {
    pollfd readable{socket_.get(), POLLIN, 0};
    if (::poll(&readable, 1, kWaitLimitMilliseconds) <= 0) return false;
    std::array<char, 16384> piece{};
    const ssize_t size = ::recv(socket_.get(), piece.data(), piece.size(), 0);
    if (size <= 0) return false;
    received_.append(piece.data(), static_cast<std::size_t>(size));
    return true;
  }

 private:
  static std::size_t content_length_in(const std::string& head) {
    std::string lower_case;
    for (const char c : head) lower_case += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t at = lower_case.find("\r\ncontent-length:");
    return at == std::string::npos ? 0 : std::stoul(lower_case.substr(at + 17));
  }

  FileDescriptor socket_;
  std::string received_;
};

}  // namespace nettleyoke::node
