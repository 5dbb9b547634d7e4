#include "net/loopback.h"

#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <memory>
#include <utility>

#include "clock.h"

namespace nettleyoke::lab::net {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

void set_no_delay(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
}

void close(Tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

void reset(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::socket::linger(true, 0), ignored);
  close(socket);
}

bool is_peer_connected(Tcp::socket& socket) {
  if (!socket.is_open()) return false;
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void run_after(asio::io_context& io, double seconds, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io, node::Clock::to_duration(seconds));
  timer->async_wait([timer, action = std::move(action)](error_code cancelled) {
    if (!cancelled) action();
  });
}

void LoopbackListener::open(OnConnection on_connection) {
  on_connection_ = std::move(on_connection);
  acceptor_.open(Tcp::v4());
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen();
  accept();
}

void LoopbackListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
}

void LoopbackListener::accept() {
  acceptor_.async_accept([this](error_code error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;  // closed, or destroyed
    if (!error) {
      set_no_delay(socket);
      on_connection_(std::move(socket));
    }
    accept();
  });
}

}  // namespace nettleyoke::lab::net
