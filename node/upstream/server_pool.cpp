#include "upstream/server_pool.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "upstream/server_connection.h"
#include "upstream/upstream_attempt.h"

namespace nettleyoke::node {
namespace {

using boost::system::error_code;

// How long a connection stays in quarantine after a response before it may carry the next request. Some
// servers send extra bytes after a response, such as a second copy of it. They may arrive slightly later and
// would be taken for the next response.
constexpr std::chrono::milliseconds kReuseQuarantine{4};

}  // namespace

ServerPool::ServerPool(std::shared_ptr<UpstreamContext> context) : context_(std::move(context)) {}

void ServerPool::update(const boost::asio::ip::tcp::endpoint& endpoint, double started_at, bool usable) {
  const bool is_same_process = endpoint_ == endpoint && started_at_ == started_at;
  if (!is_same_process) incarnation_ += 1;
  started_at_ = started_at;
  usable_ = usable;
  if (endpoint.port() != 0) endpoint_ = endpoint;
  if (!is_same_process || !usable) drop_idle();
}

// Drops the idle connections: another server may use the address by now and would execute requests that were
// meant for this server.
void ServerPool::retire() {
  usable_ = false;
  drop_idle();
  // Iterates over a copy: each attempt removes itself from the queue.
  const std::deque<std::shared_ptr<UpstreamAttempt>> attempts = waiting_attempts_;
  for (const std::shared_ptr<UpstreamAttempt>& attempt : attempts) {
    attempt->finish_later(Outcome::kConnectFailed);
  }
}

void ServerPool::close() {
  drop_idle();
  waiting_attempts_.clear();  // breaks the reference cycle between attempts and their pool
}

void ServerPool::start(const std::shared_ptr<UpstreamAttempt>& attempt) {
  if (std::shared_ptr<ServerConnection> connection = take_idle()) {
    attempt->begin(std::move(connection));
  } else if (idle_.size() > waiting_attempts_.size()) {
    // The quarantine of an idle connection ends sooner than a new connect would complete.
    waiting_attempts_.push_back(attempt);
    start_waiting_after_quarantine();
  } else if (context_->ensure_capacity()) {
    waiting_attempts_.push_back(attempt);
    connect();
  } else {
    attempt->finish_later(Outcome::kNotSent);
  }
}

void ServerPool::leave_queue(const UpstreamAttempt& attempt) {
  std::erase_if(waiting_attempts_, [&attempt](const auto& queued) { return queued.get() == &attempt; });
}

// ---------------------------------------------------------------- connections

void ServerPool::connect() {
  const auto connection = std::make_shared<ServerConnection>(context_->io, shared_from_this());
  connects_in_flight_ += 1;
  context_->connections += 1;
  connection->connect(endpoint_, context_->limits.connect_timeout);
}

void ServerPool::on_connected(const std::shared_ptr<ServerConnection>& connection, bool succeeded) {
  if (!connection->finish_connecting()) return;
  connects_in_flight_ -= 1;
  if (succeeded) {
    // If a new server process was advertised during the connect, the new process has accepted the connection,
    // unless the endpoint has changed.
    if (connection->endpoint() == endpoint_) connection->set_incarnation(incarnation_);
    connection->set_socket_options();
    return add_idle(connection, Origin::kNewlyConnected);
  }
  drop(connection);
  fail_attempt_without_connect();
}

void ServerPool::release(const std::shared_ptr<ServerConnection>& connection) {
  add_idle(connection, Origin::kAfterResponse);
}

// A free connection goes to the first waiting attempt, even if the connect for that attempt is still in
// flight. A connection that has just carried a response goes through its quarantine first.
void ServerPool::add_idle(const std::shared_ptr<ServerConnection>& connection, Origin origin) {
  // Unexpected bytes would be taken for the response to the next request.
  if (connection->incarnation() != incarnation_ || !usable_ || connection->has_unexpected_input()) {
    drop(connection);
    // The last waiting attempt may have depended on this connection, which leads to an old process of the
    // server or has unexpected input.
    return fail_attempt_without_connect();
  }
  connection->trim_buffer();
  const bool is_new = origin == Origin::kNewlyConnected;
  const Clock::Steady::time_point now = Clock::Steady::now();
  idle_.push_back(connection);
  connection->start_idling(is_new ? now : now + kReuseQuarantine, context_->limits.server_idle_timeout);
  if (waiting_attempts_.empty()) return;
  if (is_new) return start_waiting_attempts();
  start_waiting_after_quarantine();
}

std::shared_ptr<ServerConnection> ServerPool::take_idle() {
  const Clock::Steady::time_point now = Clock::Steady::now();
  std::size_t index = idle_.size();
  while (index-- > 0) {
    std::shared_ptr<ServerConnection> connection = idle_[index];
    if (connection->is_in_quarantine(now)) continue;
    if (connection->is_healthy(now)) {
      idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(index));
      connection->stop_idling();
      return connection;
    }
    drop(connection);
  }
  return nullptr;
}

void ServerPool::drop(const std::shared_ptr<ServerConnection>& connection) {
  context_->connections -= 1;
  if (connection->is_idle()) idle_.erase(std::find(idle_.begin(), idle_.end(), connection));
  connection->close();
}

void ServerPool::drop_idle() {
  for (const std::shared_ptr<ServerConnection>& connection : idle_) {
    connection->close();
    context_->connections -= 1;
  }
  idle_.clear();
}

Clock::Steady::time_point ServerPool::earliest_idle_expiry() const {
  return idle_.front()->idle_expires_at();
}

void ServerPool::drop_longest_idle() { drop(std::shared_ptr<ServerConnection>(idle_.front())); }

// ---------------------------------------------------------------- waiting attempts

void ServerPool::start_waiting_attempts() {
  while (!waiting_attempts_.empty()) {
    const std::shared_ptr<UpstreamAttempt> next = waiting_attempts_.front();
    if (next->is_abandoned()) {
      next->finish_later(Outcome::kCancelled);
      continue;
    }
    std::shared_ptr<ServerConnection> connection = take_idle();
    if (!connection) return;
    waiting_attempts_.pop_front();
    next->begin(std::move(connection));
  }
}

void ServerPool::start_waiting_after_quarantine() {
  quarantine_waits_ += 1;
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_->io, kReuseQuarantine);
  timer->async_wait([self = shared_from_this(), timer](error_code) {
    if (self->is_upstream_client_closed()) return;
    self->quarantine_waits_ -= 1;
    self->start_waiting_attempts();
    if (self->quarantine_waits_ == 0) self->connect_for_waiting_attempts();
  });
}

// A connection may turn out to be unusable after its quarantine. The attempts that waited for it then need a
// new connect.
void ServerPool::connect_for_waiting_attempts() {
  std::size_t unserved = waiting_attempts_.size();
  while (unserved > connects_in_flight_ && !waiting_attempts_.empty()) {
    if (usable_ && context_->ensure_capacity()) {
      connect();
    } else {
      fail_longest_waiting();
      --unserved;
    }
  }
}

// Fails the attempt that has waited the longest for a connection.
void ServerPool::fail_longest_waiting() {
  const std::shared_ptr<UpstreamAttempt> first = waiting_attempts_.front();
  first->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
}

// Fails one waiting attempt after a connection was lost, if fewer connects are in flight than attempts wait.
// An attempt that was given a freed connection leaves its own connect to another waiting attempt.
void ServerPool::fail_attempt_without_connect() {
  if (quarantine_waits_ == 0 && waiting_attempts_.size() > connects_in_flight_) fail_longest_waiting();
}

}  // namespace nettleyoke::node
