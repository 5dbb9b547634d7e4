#include "harness/full_listener.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <fstream>
#include <iomanip>
#include <sstream>

#include "harness/eventually.h"

namespace nettleyoke::node {

FullListener::FullListener() : listener_(new_tcp_socket()), port_(listen_on_loopback(listener_, 0, 0)) {
  EXPECT_GT(port_, 0) << "can't listen on a port of the loopback interface";
}

void FullListener::set_receive_buffer(int bytes) const {
  ASSERT_EQ(::setsockopt(listener_.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes), 0);
}

void FullListener::fill_queue() {
  filler_ = new_tcp_socket();
  ASSERT_TRUE(connect_to_loopback(filler_, port_));
}

bool FullListener::has_waiting_connection() const {
  pollfd readable{listener_.get(), POLLIN, 0};
  return ::poll(&readable, 1, 0) > 0;
}

FileDescriptor FullListener::accept() {
  for (;;) {
    pollfd readable{listener_.get(), POLLIN, 0};
    if (::poll(&readable, 1, kWaitLimitMilliseconds) <= 0) return FileDescriptor();
    sockaddr_in peer{};
    sockaddr_in filler{};
    socklen_t size = sizeof peer;
    FileDescriptor accepted(
        ::accept4(listener_.get(), reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC));
    if (filler_.get() < 0) return accepted;
    ::getsockname(filler_.get(), reinterpret_cast<sockaddr*>(&filler), &size);
    if (peer.sin_port != filler.sin_port) return accepted;
  }
}

std::set<std::string> FullListener::pending_connect_sources() const {
  std::ifstream table("/proc/net/tcp");
  std::ostringstream destination;  // the destination port, followed by the state SYN-SENT (02)
  destination << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port_ << " 02 ";
  std::set<std::string> sources;
  for (std::string line; std::getline(table, line);) {
    if (line.find(destination.str()) != std::string::npos)
      sources.insert(line.substr(line.find(':') + 1, 14));
  }
  return sources;
}

}  // namespace nettleyoke::node
