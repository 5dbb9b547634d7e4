/// @file
/// A blocking TCP connection that a test uses as a client or as a server. It reads complete HTTP messages by
/// their Content-Length.
#pragma once

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <array>
#include <cctype>
#include <cerrno>
#include <string>
#include <utility>

#include "harness/eventually.h"
#include "harness/file_descriptor.h"

namespace nettleyoke::node {

/// Owns a socket and buffers the bytes that were received but not yet returned by a read function.
class Connection {
 public:
  explicit Connection(FileDescriptor socket) : socket_(std::move(socket)) {}

  /// Connects to a port of the loopback interface; is_open() is false if the connect failed.
  static Connection to(int port) {
    FileDescriptor socket = new_tcp_socket();
    if (!connect_to_loopback(socket, port)) socket.reset();
    return Connection(std::move(socket));
  }
  bool is_open() const { return socket_.get() >= 0; }
  int fd() const { return socket_.get(); }
  void close() { socket_.reset(); }

  /// Closes the connection with an RST instead of a FIN.
  void reset() {
    send_reset_on_close();
    socket_.reset();
  }
  /// Makes a later close() send an RST instead of a FIN.
  void send_reset_on_close() const {
    const linger no_linger{1, 0};
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  }

  /// @return the number of bytes written that the peer's TCP stack has not acknowledged; -1 if the system
  /// can't report it
  int unacknowledged_bytes() const {
    int bytes = 0;
    return ::ioctl(socket_.get(), SIOCOUTQ, &bytes) == 0 ? bytes : -1;
  }

  /// Writes all of `text`.
  /// @return false if the connection ended first
  bool write(const std::string& text) {
    std::size_t written = 0;
    while (written < text.size()) {
      const ssize_t sent = ::send(socket_.get(), text.data() + written, text.size() - written, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      written += static_cast<std::size_t>(sent);
    }
    return true;
  }
  /// Writes `text` until all of it is sent, the socket accepts no more bytes for a while, because the peer
  /// has stopped reading, or the connection ends.
  void write_until_blocked(const std::string& text, int wait_milliseconds = 500) {
    for (std::size_t written = 0; written < text.size();) {
      const ssize_t sent =
          ::send(socket_.get(), text.data() + written, text.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        written += static_cast<std::size_t>(sent);
        continue;
      }
      // poll() reports a closed connection as ready for ever, so that only the error tells of its end.
      const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      pollfd writable{socket_.get(), POLLOUT, 0};
      if (!would_block || ::poll(&writable, 1, wait_milliseconds) <= 0) return;
    }
  }

  /// Reads one complete message; without a Content-Length it has no body.
  /// @return empty if the connection ends first or nothing arrives within kWaitLimit
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
  /// Reads all bytes until the connection ends or nothing arrives within kWaitLimit.
  std::string read_to_end() {
    while (receive_more()) {
    }
    return std::exchange(received_, {});
  }
  /// @return the buffered bytes, or if there are none the next ones to arrive; empty if the connection ends
  /// or nothing arrives within kWaitLimit
  std::string read_some() {
    if (received_.empty()) receive_more();
    return std::exchange(received_, {});
  }
  /// Waits for bytes and buffers them for the next read.
  /// @return false if the connection ends or nothing arrives within kWaitLimit
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
