/// @file
/// An owner of a file descriptor, and TCP sockets on the loopback interface.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace nettleyoke::node {

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() { reset(); }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

/// Creates a TCP socket that is not connected.
inline FileDescriptor new_tcp_socket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Connects to a port of the loopback interface.
/// @return whether the connection was established
inline bool connect_to_loopback(const FileDescriptor& socket, int port) {
  const sockaddr_in address = loopback(port);
  return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

/// Binds to a port of the loopback interface and listens.
/// @param port  0: any free port
/// @return the port, or -1 if bind or listen failed
inline int listen_on_loopback(const FileDescriptor& socket, int port, int backlog) {
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(socket.get(), generic, size) != 0 || ::listen(socket.get(), backlog) != 0) return -1;
  ::getsockname(socket.get(), generic, &size);
  return ntohs(address.sin_port);
}

}  // namespace nettleyoke::node
