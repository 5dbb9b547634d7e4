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

// For a complete line, and for the caller to take the reply.
constexpr milliseconds kCallTimeout{2500};
// For the caller to read the reply before the connection is closed.
constexpr milliseconds kLingerTimeout{500};

}  // namespace

AdminConnection::AdminConnection(asio::ip::tcp::socket socket, Callbacks callbacks)
    : socket_(std::move(socket)), deadline_(socket_.get_executor()), callbacks_(std::move(callbacks)) {}

void AdminConnection::start() {
  close_unless_done_within(kCallTimeout);
  asio::async_read_until(
      socket_, line_, '\n',
      [self = shared_from_this()](error_code error, std::size_t length) { self->on_line(error, length); });
}

bool AdminConnection::has_input() {
  error_code ignored;
  return state_ == State::kReplying || socket_.available(ignored) > 0;
}

void AdminConnection::close() {
  if (state_ == State::kDetached) return;
  halt(deadline_);
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
  if (error == asio::error::not_found) return reply(format_no("line too long"));
  if (error) return reply_to_incomplete_line();
  const auto begin = asio::buffers_begin(line_.data());
  const std::string line(begin, begin + static_cast<std::ptrdiff_t>(length));
  reply(callbacks_.reply_to(line));
}

void AdminConnection::close_unless_done_within(Clock::Steady::duration patience) {
  deadline_.expires_after(patience);
  deadline_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && Clock::Steady::now() >= self->deadline_.expiry()) self->on_deadline();
  });
}

void AdminConnection::on_deadline() {
  if (state_ == State::kReading) return reply_to_incomplete_line();
  close();
}

// A caller that has sent nothing is owed nothing.
void AdminConnection::reply_to_incomplete_line() {
  if (line_.size() == 0) return close();
  reply(format_no("no whole line"));
}

void AdminConnection::reply(std::string text) {
  state_ = State::kReplying;
  reply_ = std::move(text);
  close_unless_done_within(kCallTimeout);
  asio::async_write(socket_, asio::buffer(reply_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->state_ == State::kDetached) return;
                      if (error) return self->close();
                      error_code ignored;
                      self->socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                      self->close_unless_done_within(kLingerTimeout);
                      self->discard_input();
                    });
}

// Closing with unread bytes resets the connection, and the caller may lose the reply.
void AdminConnection::discard_input() {
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (self->state_ == State::kDetached) return;
                            if (error) return self->close();
                            self->discard_input();
                          });
}

}  // namespace nettleyoke::node
