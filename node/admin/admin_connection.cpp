#include "admin/admin_connection.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "admin/admin_command.h"

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

// For reading a complete line, and again for sending the reply.
constexpr milliseconds kCommandTimeout{2500};
// From the sent reply until the connection is closed: the client reads the reply and closes its side.
constexpr milliseconds kLingerTimeout{500};

}  // namespace

AdminConnection::AdminConnection(asio::ip::tcp::socket socket, Callbacks callbacks)
    : socket_(std::move(socket)), deadline_timer_(socket_.get_executor()), callbacks_(std::move(callbacks)) {}

void AdminConnection::start() {
  set_deadline(kCommandTimeout);
  asio::async_read_until(
      socket_, input_, '\n',
      [self = shared_from_this()](error_code error, std::size_t length) { self->on_line(error, length); });
}

bool AdminConnection::has_input() {
  error_code ignored;
  return state_ == State::kReplying || socket_.available(ignored) > 0;
}

void AdminConnection::close() {
  if (state_ == State::kDetached) return;
  cancel_timer(deadline_timer_);
  error_code ignored;
  socket_.close(ignored);
  const std::function<void()> closed = std::move(callbacks_.closed);
  detach();
  closed();
}

void AdminConnection::detach() {
  state_ = State::kDetached;
  callbacks_ = {};
}

void AdminConnection::on_line(error_code error, std::size_t length) {
  if (state_ != State::kReading) return;
  if (error == asio::error::not_found) return reply(format_no("command line is too long"));
  if (error) return reply_to_incomplete_line();
  const auto begin = asio::buffers_begin(input_.data());
  const std::string line(begin, begin + static_cast<std::ptrdiff_t>(length));
  reply(callbacks_.reply_to(line));
}

void AdminConnection::set_deadline(Clock::Steady::duration timeout) {
  deadline_timer_.expires_after(timeout);
  deadline_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && Clock::Steady::now() >= self->deadline_timer_.expiry()) self->on_deadline();
  });
}

void AdminConnection::on_deadline() {
  if (state_ == State::kReading) return reply_to_incomplete_line();
  close();
}

// A client that has sent nothing gets no reply.
void AdminConnection::reply_to_incomplete_line() {
  if (input_.size() == 0) return close();
  reply(format_no("command line is incomplete"));
}

void AdminConnection::reply(std::string text) {
  state_ = State::kReplying;
  reply_ = std::move(text);
  set_deadline(kCommandTimeout);
  asio::async_write(socket_, asio::buffer(reply_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->state_ == State::kDetached) return;
                      if (error) return self->close();
                      error_code ignored;
                      self->socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                      self->set_deadline(kLingerTimeout);
                      self->discard_input();
                    });
}

// Closing a socket with unread bytes resets the connection, and the client may lose the reply.
void AdminConnection::discard_input() {
  socket_.async_read_some(asio::buffer(discard_buffer_),
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (self->state_ == State::kDetached) return;
                            if (error) return self->close();
                            self->discard_input();
                          });
}

}  // namespace nettleyoke::node
