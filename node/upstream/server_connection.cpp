#include "upstream/server_connection.h"

#include <utility>

#include "http/socket_helpers.h"
#include "upstream/server_pool.h"

namespace nettleyoke::node {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// An idle connection is dropped after this fraction of the server's idle timeout. If a request were written
// just as the server closes the connection, the attempt would end as a reset, and a non-idempotent request
// class cannot retry after a reset.
constexpr double kIdleTimeoutFraction = 0.85;
constexpr std::size_t kMaxIdleBufferBytes = 4096;

}  // namespace

ServerConnection::ServerConnection(boost::asio::io_context& io, std::shared_ptr<ServerPool> pool)
    : socket_(io), timer_(io), pool_(std::move(pool)) {}

void ServerConnection::connect(const tcp::endpoint& endpoint, double timeout) {
  endpoint_ = endpoint;
  timer_.expires_after(Clock::to_duration(timeout));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->pool_->is_upstream_client_closed()) self->pool_->on_connected(self, false);
  });
  socket_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
    if (!self->pool_->is_upstream_client_closed()) self->pool_->on_connected(self, !error);
  });
}

bool ServerConnection::finish_connecting() {
  if (state_ != State::kConnecting) return false;
  state_ = State::kInUse;
  cancel_timer(timer_);
  return true;
}

// If the process ends, by SIGKILL too, the operating system must not complete the requests in flight.
void ServerConnection::set_socket_options() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  set_reset_on_close(socket_, true);
}

void ServerConnection::start_idling(Clock::Steady::time_point reusable_at, double idle_timeout) {
  state_ = State::kIdle;
  reusable_at_ = reusable_at;
  idle_generation_ += 1;
  const auto drop_if_still_idle = [self = shared_from_this(),
                                   generation = idle_generation_](error_code cancelled) {
    if (!cancelled && !self->pool_->is_upstream_client_closed() && self->is_idle() &&
        self->idle_generation_ == generation) {
      self->pool_->drop(self);
    }
  };
  timer_.expires_after(Clock::to_duration(idle_timeout * kIdleTimeoutFraction));
  timer_.async_wait(drop_if_still_idle);
  socket_.async_wait(tcp::socket::wait_read, drop_if_still_idle);
}

void ServerConnection::stop_idling() {
  state_ = State::kInUse;
  idle_generation_ += 1;
  cancel_timer(timer_);
  error_code ignored;
  socket_.cancel(ignored);  // ends the wait for input or a close
}

// After an orderly close the operating system would send the rest of a request as soon as a hung server reads
// again, and the server would process a request that the node gave up long before.
void ServerConnection::close() {
  state_ = State::kClosed;
  cancel_timer(timer_);
  if (unacknowledged_bytes() == 0) set_reset_on_close(socket_, false);
  error_code ignored;
  socket_.close(ignored);
}

// On a shared core the event loop may lag and may not have handled the timer or the close yet.
bool ServerConnection::is_healthy(Clock::Steady::time_point now) {
  return timer_.expiry() > now && !is_readable(socket_);
}

int ServerConnection::unacknowledged_bytes() { return node::unacknowledged_bytes(socket_); }

bool ServerConnection::has_unexpected_input() { return buffer_.size() > 0 || is_readable(socket_); }

void ServerConnection::trim_buffer() {
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
}

}  // namespace nettleyoke::node
