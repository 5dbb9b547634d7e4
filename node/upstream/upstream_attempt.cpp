#include "upstream/upstream_attempt.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "upstream/server_connection.h"
#include "upstream/server_pool.h"

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Time limit for a server that reads no byte of a large request.
constexpr std::chrono::seconds kRequestSilenceTimeout{3};
// How often within its time limit a server that reads a large request is checked for progress.
constexpr int kRequestProgressChecks = 4;

// How long the acknowledgement of a received request may take. The rules on sockets allow 50 ms, and systems
// hold back an acknowledgement for up to 40 ms.
constexpr std::chrono::milliseconds kMaxAcknowledgementDelay{45};

double to_seconds(Clock::Steady::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks)
    : context_(std::move(context)),
      callbacks_(std::move(callbacks)),
      timeout_timer_(context_->io),
      progress_timer_(context_->io),
      delivery_timer_(context_->io),
      reservation_(context_->budget) {}

void UpstreamAttempt::assign(std::shared_ptr<ServerPool> pool,
                             const std::shared_ptr<const OutgoingRequest>& request,
                             const AttemptTimeLimits& limits) {
  pool_ = std::move(pool);
  timeout_ = limits.timeout;
  writer_.assign(request);
  if (is_abandoned()) return finish_later(Outcome::kCancelled);
  const Clock::Steady::time_point now = Clock::Steady::now();
  const Clock::Steady::time_point deadline =
      now + Clock::to_duration(std::max(limits.timeout, limits.deadline));
  if (std::isfinite(limits.request_time)) request_end_ = now + Clock::to_duration(limits.request_time);
  std::optional<Clock::Steady::time_point> send_by;
  if (limits.send_within) send_by = now + Clock::to_duration(*limits.send_within);
  writer_.set_time_limits(deadline, send_by);
  start_timeout();
  pool_->start(shared_from_this());
}

void UpstreamAttempt::begin(std::shared_ptr<ServerConnection> connection) {
  connection_ = std::move(connection);
  if (!writer_.serialize(pool_->endpoint())) return finish_later(Outcome::kNotSent);
  write();
}

// The attempt leaves the queue at once. Otherwise it could still begin on a connection that becomes available
// before the outcome is reported.
void UpstreamAttempt::finish_later(Outcome outcome) {
  is_finish_scheduled_ = true;
  if (pool_) pool_->leave_queue(*this);
  asio::post(context_->io, [self = shared_from_this(), outcome] {
    if (!self->context_->is_closed) self->finish(outcome, ConnectionReuse::kClose);
  });
}

// Starts the timeout now. If the body is still arriving, does nothing: on_sent() calls this again after the
// last byte.
void UpstreamAttempt::start_timeout() {
  if (writer_.has_remaining_body()) return;
  set_timeout_at(std::min(Clock::Steady::now() + Clock::to_duration(timeout_), request_end_));
}

void UpstreamAttempt::set_timeout_at(Clock::Steady::time_point time) {
  timeout_timer_.expires_at(time);
  timeout_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled || self->is_finished() || self->timeout_timer_.expiry() > Clock::Steady::now()) return;
    self->on_timeout();
  });
}

// A streamed request whose last byte is not written has no timeout before this call.
void UpstreamAttempt::set_request_end(Clock::Steady::time_point end) {
  request_end_ = end;
  if (has_ended() || reader_.is_streaming()) return;
  const bool has_timeout = is_sent() || !writer_.is_streamed();
  if (!has_timeout || end < timeout_timer_.expiry()) set_timeout_at(end);
}

void UpstreamAttempt::on_timeout() {
  if (reader_.is_streaming()) return;
  if (!is_sent()) return give_up(Outcome::kConnectFailed, EndReason::kRequestTimeOver);
  if (!slow_response_.has_begun()) return give_up(Outcome::kTimedOut, EndReason::kTimeout);
  const Clock::Steady::time_point now = Clock::Steady::now();
  if (now >= request_end_) return on_request_end();
  switch (slow_response_.check(now, reader_.progress(), callbacks_.may_retry())) {
    case SlowResponsePolicy::Decision::kWait:
      return set_timeout_at(request_end_);
    case SlowResponsePolicy::Decision::kStream:
      return start_streaming();
    case SlowResponsePolicy::Decision::kGiveUp:
      return give_up(Outcome::kTimedOut, EndReason::kResponseIncomplete);
  }
}

// Ends the attempt if the server's system takes no byte of a streamed request for too long. A socket becomes
// writable only when much of its buffer is free, which may take a slow server longer.
void UpstreamAttempt::watch_request_progress(int unacknowledged, Clock::Steady::time_point silent_since) {
  progress_timer_.expires_after(Clock::Steady::duration(kRequestSilenceTimeout) / kRequestProgressChecks);
  progress_timer_.async_wait([self = shared_from_this(), unacknowledged, silent_since](error_code cancelled) {
    const Clock::Steady::time_point now = Clock::Steady::now();
    if (cancelled || self->is_finished() || self->progress_timer_.expiry() > now) return;
    const int remaining = self->connection_->unacknowledged_bytes();
    if (remaining < unacknowledged) return self->watch_request_progress(remaining, now);
    if (now < silent_since + kRequestSilenceTimeout) {
      return self->watch_request_progress(unacknowledged, silent_since);
    }
    self->give_up(Outcome::kConnectFailed, EndReason::kRequestNotRead);
  });
}

void UpstreamAttempt::cancel_undelivered() {
  if (!is_sent()) return finish_later(Outcome::kCancelled);
  give_up_if_undelivered_at(Clock::Steady::now(), Outcome::kCancelled);
}

// A written request may still be in the memory of the node's system, because the server hangs or can't be
// reached.
void UpstreamAttempt::give_up_if_undelivered_at(Clock::Steady::time_point time, Outcome outcome) {
  delivery_timer_.expires_at(time + kMaxAcknowledgementDelay);
  delivery_timer_.async_wait([self = shared_from_this(), outcome](error_code cancelled) {
    if (cancelled || self->is_finished() || self->state_ != State::kAwaitingResponse) return;
    if (self->connection_->unacknowledged_bytes() == 0) return;
    self->give_up(outcome, EndReason::kRequestUnconfirmed);
  });
}

// ---------------------------------------------------------------- the request

void UpstreamAttempt::write() {
  if (is_finish_scheduled_) return;
  switch (writer_.write(connection_->socket())) {
    case RequestWriter::Progress::kComplete:
      return on_sent();
    case RequestWriter::Progress::kAwaitingBody:
      return wait_for_body();
    case RequestWriter::Progress::kAwaitingSocket:
      return wait_for_socket_writable();
    case RequestWriter::Progress::kBodyAborted:
      return finish_later(Outcome::kCancelled);  // the client disconnected; the last byte was not written
    case RequestWriter::Progress::kFailed:
      return finish_later(Outcome::kConnectFailed);  // without the last byte nothing was executed
  }
}

void UpstreamAttempt::wait_for_body() {
  cancel_timer(progress_timer_);
  writer_.when_body_readable([self = shared_from_this()] {
    if (!self->is_finished()) self->write();
  });
  watch_for_early_close();
}

// While the request waits for more of its body nothing is written. Without this wait, a close by the server
// would go unnoticed until the next piece arrives or the client's time for sending it has passed.
void UpstreamAttempt::watch_for_early_close() {
  if (std::exchange(is_watching_early_close_, true)) return;
  connection_->socket().async_wait(tcp::socket::wait_read,
                                   [self = shared_from_this(), connection = connection_](error_code) {
                                     if (!self->is_finished() && !self->is_sent())
                                       self->finish_later(Outcome::kConnectFailed);
                                   });
}

void UpstreamAttempt::wait_for_socket_writable() {
  if (writer_.is_streamed()) {
    watch_request_progress(connection_->unacknowledged_bytes(), Clock::Steady::now());
  }
  connection_->socket().async_wait(tcp::socket::wait_write,
                                   [self = shared_from_this(), connection = connection_](error_code error) {
                                     if (self->is_finished()) return;
                                     if (error)
                                       return self->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
                                     self->write();
                                   });
}

void UpstreamAttempt::on_sent() {
  state_ = State::kAwaitingResponse;
  context_->metrics.attempt_sent();
  if (writer_.is_streamed()) {
    cancel_timer(progress_timer_);
    sent_at_ = Clock::Steady::now();
    start_timeout();
  }
  writer_.release_memory();
  if (const auto send_by = writer_.send_by()) give_up_if_undelivered_at(*send_by, Outcome::kTimedOut);
  read_response();
}

// ---------------------------------------------------------------- the end

double UpstreamAttempt::elapsed() const {
  return to_seconds((reader_.is_streaming() ? first_byte_at_ : Clock::Steady::now()) - sent_at_);
}

void UpstreamAttempt::give_up(Outcome outcome, EndReason reason) {
  end_reason_ = reason;
  finish(outcome, ConnectionReuse::kClose);
}

// Frees the connection before it reports the outcome, so that the next attempt of the decision library can
// use the connection.
void UpstreamAttempt::finish(Outcome outcome, ConnectionReuse reuse) {
  if (has_ended()) return;
  const bool was_sent = is_sent();
  state_ = State::kEnded;
  cancel_timer(timeout_timer_);
  cancel_timer(progress_timer_);
  cancel_timer(delivery_timer_);
  if (pool_) pool_->leave_queue(*this);
  if (const std::shared_ptr<ServerConnection> connection = std::exchange(connection_, nullptr)) {
    if (reuse == ConnectionReuse::kKeep) {
      pool_->release(connection);
    } else {
      pool_->drop(connection);
    }
  }
  HttpResponse response;
  if (reader_.is_streaming()) {
    reader_.pipe()->abort();  // no effect if the body is finished
  } else if (outcome == Outcome::kSucceeded) {
    response = reader_.head();
    response.body() = reader_.take_body();
  }
  writer_.close_body();
  const AttemptEnd end{outcome, end_reason_, was_sent, elapsed()};
  const AttemptCallbacks callbacks = std::exchange(callbacks_, {});
  callbacks.on_ended(end, std::move(response));
}

}  // namespace nettleyoke::node
