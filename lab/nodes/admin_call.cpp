#include "nodes/admin_call.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <sstream>
#include <utility>

#include "net/loopback.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds kResponseTimeout{2};

/// Keeps itself alive until the admin server has responded or the timeout expires.
class AdminCall : public std::enable_shared_from_this<AdminCall> {
 public:
  AdminCall(asio::io_context& io, std::string command, std::function<void(std::string)> on_response)
      : socket_(io), timer_(io), command_(std::move(command) + "\n"), on_response_(std::move(on_response)) {}

  void start(const Tcp::endpoint& endpoint) {
    timer_.expires_after(kResponseTimeout);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) net::close(self->socket_);
    });
    socket_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (error) return self->finish("");
      self->write();
    });
  }

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(command_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (error) return self->finish("");
                        self->read_to_end();
                      });
  }
  void read_to_end() {
    asio::async_read(socket_, response_, [self = shared_from_this()](error_code, std::size_t) {
      std::ostringstream text;
      text << &self->response_;
      self->finish(text.str());
    });
  }
  void finish(const std::string& response) {
    timer_.cancel();
    on_response_(response);
  }

  Tcp::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf response_;
  std::string command_;
  std::function<void(std::string)> on_response_;
};

}  // namespace

void call_admin(asio::io_context& io, const Tcp::endpoint& endpoint, const std::string& command,
                std::function<void(std::string)> on_response) {
  std::make_shared<AdminCall>(io, command, std::move(on_response))->start(endpoint);
}

}  // namespace nettleyoke::lab
