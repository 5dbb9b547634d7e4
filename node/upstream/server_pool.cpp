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

// A connection is in quarantine this long after a response before it carries the next request. What some
// servers send behind a response, such as a second copy of it, may arrive a moment later and would pass for
// the next response.
constexpr std::chrono::milliseconds kReuseQuarantine{4};

}  // namespace

ServerPool::ServerPool(std::shared_ptr<UpstreamContext> context) : context_(std::move(context)) {}

void ServerPool::update(const boost::asio::ip::tcp::endpoint& endpoint, double started, bool usable) {
  const bool is_same_process = endpoint_ == endpoint && started_ == started;
  if (!is_same_process) incarnation_ += 1;
  started_ = started;
  usable_ = usable;
  if (endpoint.port() != 0) endpoint_ = endpoint;
  if (!is_same_process || !usable) drop_idle();
}

// Another server may stand at the address by now and would take in what was meant for this one.
void ServerPool::retire() {
  usable_ = false;
  drop_idle();
  const std::deque<std::shared_ptr<UpstreamAttempt>> waiting = waiting_;
  for (const std::shared_ptr<UpstreamAttempt>& attempt : waiting) attempt->end_later(Outcome::kConnectFailed);
}

void ServerPool::close() {
  drop_idle();
  waiting_.clear();  // attempts and pools hold each other
}

void ServerPool::start(const std::shared_ptr<UpstreamAttempt>& attempt) {
  if (std::shared_ptr<ServerConnection> connection = take_idle()) {
    attempt->begin(std::move(connection));
  } else if (idle_.size() > waiting_.size()) {
    // One in quarantine will be free sooner than a new one is up.
    waiting_.push_back(attempt);
    serve_after_quarantine();
  } else if (context_->ensure_capacity()) {
    waiting_.push_back(attempt);
    connect();
  } else {
    attempt->end_later(Outcome::kNotSent);
  }
}

void ServerPool::leave_queue(const UpstreamAttempt& attempt) {
  std::erase_if(waiting_, [&attempt](const auto& queued) { return queued.get() == &attempt; });
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
    // A process that was advertised meanwhile is the one that accepted, unless the server has moved.
    if (connection->endpoint() == endpoint_) connection->set_incarnation(incarnation_);
    connection->disable_nagle();
    return add_idle(connection, Origin::kNewlyConnected);
  }
  drop(connection);
  fail_unserved();
}

void ServerPool::release(const std::shared_ptr<ServerConnection>& connection) {
  add_idle(connection, Origin::kAfterResponse);
}

// A free connection serves whoever waits for one, even while that attempt's own connect is in flight; but one
// that has just carried a response is in quarantine before.
void ServerPool::add_idle(const std::shared_ptr<ServerConnection>& connection, Origin origin) {
  // Bytes that nobody asked for would be taken for the response to the next request.
  if (connection->incarnation() != incarnation_ || !usable_ || connection->has_unexpected_input()) {
    drop(connection);
    // This connect may have been the last one's, to where the server no longer listens or to one that
    // speaks unasked.
    return fail_unserved();
  }
  connection->trim_buffer();
  const bool is_new = origin == Origin::kNewlyConnected;
  const Clock::Steady::time_point now = Clock::Steady::now();
  idle_.push_back(connection);
  connection->start_idling(is_new ? now : now + kReuseQuarantine, context_->limits.server_idle_timeout);
  if (waiting_.empty()) return;
  if (is_new) return serve_waiting();
  serve_after_quarantine();
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

Clock::Steady::time_point ServerPool::first_idle_expiry() const { return idle_.front()->idle_expires_at(); }

void ServerPool::drop_longest_idle() { drop(std::shared_ptr<ServerConnection>(idle_.front())); }

// ---------------------------------------------------------------- waiting attempts

void ServerPool::serve_waiting() {
  while (!waiting_.empty()) {
    const std::shared_ptr<UpstreamAttempt> next = waiting_.front();
    if (next->is_abandoned()) {
      next->end_later(Outcome::kCancelled);
      continue;
    }
    std::shared_ptr<ServerConnection> connection = take_idle();
    if (!connection) return;
    waiting_.pop_front();
    next->begin(std::move(connection));
  }
}

void ServerPool::serve_after_quarantine() {
  quarantine_waits_ += 1;
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_->io, kReuseQuarantine);
  timer->async_wait([self = shared_from_this(), timer](error_code) {
    if (self->is_client_closed()) return;
    self->quarantine_waits_ -= 1;
    self->serve_waiting();
    if (self->quarantine_waits_ == 0) self->connect_for_waiting();
  });
}

// A connection may turn out to be of no use after its quarantine, so that a connect is needed after all.
void ServerPool::connect_for_waiting() {
  std::size_t unserved = waiting_.size();
  while (unserved > connects_in_flight_ && !waiting_.empty()) {
    if (usable_ && context_->ensure_capacity()) {
      connect();
    } else {
      fail_first();
      --unserved;
    }
  }
}

// The one that has waited the longest for a connection gets none.
void ServerPool::fail_first() {
  const std::shared_ptr<UpstreamAttempt> first = waiting_.front();
  first->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
}

// Each attempt that waits has a connect of its own; one that got a connection that became free leaves a
// connect to spare.
void ServerPool::fail_unserved() {
  if (quarantine_waits_ == 0 && waiting_.size() > connects_in_flight_) fail_first();
}

}  // namespace nettleyoke::node
