#include "harness/listener.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <memory>
#include <utility>

namespace nettleyoke::node {

namespace {
constexpr int kBacklog = 128;
constexpr int kStopPollMilliseconds = 5;
}  // namespace

Listener::Listener(std::function<void(Connection&)> serve, int port)
    : serve_(std::move(serve)), listener_(new_tcp_socket()) {
  const int on = 1;
  ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  port_ = listen_on_loopback(listener_, port, kBacklog);
  EXPECT_GT(port_, 0) << "can't listen on port " << port;
  accept_thread_ = std::thread([this] { accept_connections(); });
}

void Listener::stop() {
  if (!accept_thread_.joinable()) return;
  stopping_ = true;
  accept_thread_.join();
  listener_.reset();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_descriptors_) ::shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : serving_threads_) thread.join();
  serving_threads_.clear();
}

int Listener::open_connections() {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(open_descriptors_.size());
}

void Listener::accept_connections() {
  while (!stopping_) {
    pollfd readable{listener_.get(), POLLIN, 0};
    if (::poll(&readable, 1, kStopPollMilliseconds) <= 0) continue;
    FileDescriptor socket(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.get() >= 0) start_serving(std::move(socket));
  }
}

void Listener::start_serving(FileDescriptor socket) {
  ++accepted_;
  const auto connection = std::make_shared<Connection>(std::move(socket));
  const int fd = connection->fd();
  {
    const std::lock_guard lock(mutex_);
    open_descriptors_.push_back(fd);
  }
  serving_threads_.emplace_back([this, connection, fd] {
    serve_(*connection);
    const std::lock_guard lock(mutex_);
    std::erase(open_descriptors_, fd);
    connection->close();
  });
}

}  // namespace nettleyoke::node
