#include "upstream/upstream_attempt.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

#include "upstream/server_connection.h"
#include "upstream/server_pool.h"

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A response that has begun and is not complete after this long is given up. One that stops half-way, or
// arrives a few bytes at a time, would hold its request until its time is over, though another server could
// still answer it.
constexpr std::chrono::milliseconds kResponseCompletionTimeout{250};
// A large response whose server sends nothing for so long is broken off, and a large request that its server
// does not read.
constexpr std::chrono::seconds kPeerSilenceTimeout{3};

double to_seconds(Clock::Steady::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks)
    : context_(std::move(context)),
      callbacks_(std::move(callbacks)),
      timeout_timer_(context_->io),
      progress_timer_(context_->io),
      reservation_(context_->budget) {}

void UpstreamAttempt::assign(std::shared_ptr<ServerPool> pool,
                             const std::shared_ptr<const OutgoingRequest>& request,
                             const AttemptTimes& times) {
  pool_ = std::move(pool);
  timeout_ = times.timeout;
  writer_.assign(request);
  if (is_abandoned()) return end_later(Outcome::kCancelled);
  const Clock::Steady::time_point now = Clock::Steady::now();
  const Clock::Steady::time_point deadline =
      now + Clock::to_duration(std::max(times.timeout, times.deadline));
  writer_.set_times(deadline, times.send_within ? now + Clock::to_duration(*times.send_within)
                                                : Clock::Steady::time_point::max());
  start_timeout();
  pool_->start(shared_from_this());
}

void UpstreamAttempt::begin(std::shared_ptr<ServerConnection> connection) {
  connection_ = std::move(connection);
  if (!writer_.serialize(pool_->endpoint())) return end_later(Outcome::kNotSent);
  write();
}

// A connection may come up, or its quarantine end, before the end is reported, and the attempt would still
// begin on it.
void UpstreamAttempt::end_later(Outcome outcome) {
  is_ending_ = true;
  if (pool_) pool_->leave_queue(*this);
  asio::post(context_->io, [self = shared_from_this(), outcome] {
    if (!self->context_->is_closed) self->finish(outcome, ConnectionReuse::kClose);
  });
}

// The timeout counts from now on, and for a request whose body is still arriving anew from its last byte.
void UpstreamAttempt::start_timeout() {
  if (writer_.has_remaining_body()) return;
  timeout_timer_.expires_at(Clock::Steady::now() + Clock::to_duration(timeout_));
  timeout_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled || self->is_over() || self->reader_.is_streaming()) return;
    self->finish(self->is_sent() ? Outcome::kTimedOut : Outcome::kConnectFailed, ConnectionReuse::kClose);
  });
}

// Ends the attempt if the peer moves no byte for too long.
void UpstreamAttempt::start_silence_timer(Outcome outcome) {
  progress_timer_.expires_after(kPeerSilenceTimeout);
  progress_timer_.async_wait([self = shared_from_this(), outcome](error_code cancelled) {
    if (cancelled || self->is_over() || self->progress_timer_.expiry() > Clock::Steady::now()) return;
    self->finish(outcome, ConnectionReuse::kClose);
  });
}

// ---------------------------------------------------------------- the request

void UpstreamAttempt::write() {
  if (is_ending_) return;
  switch (writer_.write(connection_->socket())) {
    case RequestWriter::Progress::kComplete:
      return on_sent();
    case RequestWriter::Progress::kAwaitingBody:
      return wait_for_body();
    case RequestWriter::Progress::kAwaitingSocket:
      return wait_for_writable();
    case RequestWriter::Progress::kBodyAborted:
      return end_later(Outcome::kCancelled);  // its client has left, and the last byte was not written
    case RequestWriter::Progress::kFailed:
      return end_later(Outcome::kConnectFailed);  // the last byte was not written: it can't have run
  }
}

void UpstreamAttempt::wait_for_body() {
  cancel_timer(progress_timer_);
  writer_.when_body_readable([self = shared_from_this()] {
    if (!self->is_over()) self->write();
  });
  watch_for_early_close();
}

// While nothing is being written, a server that breaks off would be noticed only with the next piece, or
// after the client's time for one.
void UpstreamAttempt::watch_for_early_close() {
  if (std::exchange(is_watching_early_close_, true)) return;
  connection_->socket().async_wait(tcp::socket::wait_read,
                                   [self = shared_from_this(), connection = connection_](error_code) {
                                     if (!self->is_over() && !self->is_sent())
                                       self->end_later(Outcome::kConnectFailed);
                                   });
}

void UpstreamAttempt::wait_for_writable() {
  if (writer_.is_streamed()) start_silence_timer(Outcome::kConnectFailed);
  connection_->socket().async_wait(tcp::socket::wait_write,
                                   [self = shared_from_this(), connection = connection_](error_code problem) {
                                     if (self->is_over()) return;
                                     if (problem)
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
  read_response();
}

// ---------------------------------------------------------------- the response

// The read itself notifies of nothing before a head is complete, and some servers stop in the midst of one.
void UpstreamAttempt::read_response() {
  reader_.reset();
  if (connection_->buffer().size() > 0) return begin_response();
  connection_->socket().async_wait(tcp::socket::wait_read,
                                   [self = shared_from_this(), connection = connection_](error_code problem) {
                                     if (self->is_over()) return;
                                     if (problem)
                                       return self->finish(Outcome::kReset, ConnectionReuse::kClose);
                                     self->begin_response();
                                   });
}

void UpstreamAttempt::begin_response() {
  first_byte_at_ = Clock::Steady::now();
  progress_timer_.expires_after(kResponseCompletionTimeout);
  progress_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->is_over()) self->on_completion_timeout();
  });
  read_more();
}

// A response that is given up may have run: the server had the request, or it would not have begun to answer.
void UpstreamAttempt::on_completion_timeout() {
  if (reader_.is_streaming() || progress_timer_.expiry() > Clock::Steady::now()) return;
  if (!reader_.is_making_progress(to_seconds(kResponseCompletionTimeout))) {
    return finish(Outcome::kReset, ConnectionReuse::kClose);
  }
  // The read in flight goes on; what it brings finds the pipe.
  start_streaming();
  start_silence_timer(Outcome::kReset);
}

// An attempt that ends lets go of its connection while the socket's operation is still to be cancelled, and
// that operation works on the connection's buffer: each operation holds the connection.
void UpstreamAttempt::read_more() {
  http::async_read_some(
      connection_->socket(), connection_->buffer(), reader_.prepare_read(),
      [self = shared_from_this(), connection = connection_](error_code problem, std::size_t) {
        if (self->is_over()) return;
        if (problem == http::error::need_buffer) problem = {};
        self->on_read(problem);
      });
}

// A part of the head or of the body has arrived.
void UpstreamAttempt::on_read(error_code problem) {
  if (reader_.is_streaming() && reader_.pipe()->is_reader_closed()) {
    return finish(Outcome::kCancelled, ConnectionReuse::kClose);
  }
  reader_.consume_read();
  if (problem && !reader_.is_done()) {
    return finish(ResponseReader::outcome_of_failed_read(problem), ConnectionReuse::kClose);
  }
  if (reader_.is_done()) return on_response_complete();
  if (!reader_.is_streaming() && !continue_response()) return;
  if (!reader_.is_streaming()) return read_more();
  wait_for_reader();
}

// Decides on a response that is not passed on yet; false if the attempt is over.
bool UpstreamAttempt::continue_response() {
  if (reader_.is_large()) {
    if (!reader_.is_ok()) {
      finish(reader_.outcome(), ConnectionReuse::kClose);
      return false;
    }
    start_streaming();
  } else if (!reservation_.try_resize(connection_->buffer().capacity() + reader_.memory())) {
    finish(Outcome::kUnknown, ConnectionReuse::kClose);
    return false;
  }
  return true;
}

// From here on the response is passed on as it arrives.
void UpstreamAttempt::start_streaming() {
  cancel_timer(timeout_timer_);
  state_ = State::kStreamingResponse;
  reader_.start_streaming(context_->io, context_->budget);
  reader_.pipe()->when_reader_closed([weak = weak_from_this()] {
    const std::shared_ptr<UpstreamAttempt> self = weak.lock();
    if (self && !self->is_over()) self->finish(Outcome::kCancelled, ConnectionReuse::kClose);
  });
  reservation_.resize(reader_.memory());
  callbacks_.begun(reader_.head(), reader_.pipe(), elapsed());
}

void UpstreamAttempt::wait_for_reader() {
  cancel_timer(progress_timer_);  // it is the client that is waited for now, if anyone
  reader_.pipe()->when_writable([self = shared_from_this()] {
    if (self->is_over()) return;
    if (self->reader_.pipe()->is_reader_closed()) {
      return self->finish(Outcome::kCancelled, ConnectionReuse::kClose);
    }
    self->start_silence_timer(Outcome::kReset);
    self->read_more();
  });
}

void UpstreamAttempt::on_response_complete() {
  if (reader_.is_interim()) {
    if (!reader_.accept_interim()) return finish(Outcome::kUnknown, ConnectionReuse::kClose);
    cancel_timer(progress_timer_);  // the response itself has not begun
    return read_response();
  }
  if (reader_.is_cut_short()) return finish(Outcome::kReset, ConnectionReuse::kClose);
  if (reader_.is_streaming()) reader_.pipe()->finish();
  finish(reader_.outcome(), reader_.keeps_connection() ? ConnectionReuse::kKeep : ConnectionReuse::kClose);
}

// ---------------------------------------------------------------- the end

double UpstreamAttempt::elapsed() const {
  return to_seconds((reader_.is_streaming() ? first_byte_at_ : Clock::Steady::now()) - sent_at_);
}

// The connection is free again before the outcome is reported: what the decision library sends next may use
// it.
void UpstreamAttempt::finish(Outcome outcome, ConnectionReuse reuse) {
  if (std::exchange(state_, State::kEnded) == State::kEnded) return;
  cancel_timer(timeout_timer_);
  cancel_timer(progress_timer_);
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
    reader_.pipe()->abort();  // unless it is complete
  } else if (outcome == Outcome::kSucceeded) {
    response = reader_.head();
    response.body() = reader_.take_body();
  }
  writer_.close_body();
  const double seconds = elapsed();
  const AttemptCallbacks callbacks = std::exchange(callbacks_, {});
  callbacks.ended(outcome, std::move(response), seconds);
}

}  // namespace nettleyoke::node
