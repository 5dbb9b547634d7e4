// The part of UpstreamAttempt that receives the response.
#include <boost/beast/http/read.hpp>
#include <memory>

#include "upstream/server_connection.h"
#include "upstream/server_pool.h"
#include "upstream/upstream_attempt.h"

namespace nettleyoke::node {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Waits for the first byte separately, so that the completion timeout starts with it: the read completes only
// with a full head, and some servers stop in the middle of one.
void UpstreamAttempt::read_response() {
  reader_.reset();
  slow_response_.reset();
  if (connection_->buffer().size() > 0) return begin_response();
  connection_->socket().async_wait(tcp::socket::wait_read,
                                   [self = shared_from_this(), connection = connection_](error_code error) {
                                     if (self->is_finished()) return;
                                     if (error) return self->finish(Outcome::kReset, ConnectionReuse::kClose);
                                     self->begin_response();
                                   });
}

void UpstreamAttempt::begin_response() {
  first_byte_at_ = Clock::Steady::now();
  slow_response_.on_begun(first_byte_at_);
  check_response_later();
  read_more();
}

void UpstreamAttempt::check_response_later() {
  progress_timer_.expires_after(SlowResponsePolicy::kCheckInterval);
  progress_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->is_finished()) self->check_response();
  });
}

// A response that is given up ends as a reset: the server may have executed the request, because it had
// started to respond. An error needs no body.
void UpstreamAttempt::check_response() {
  const Clock::Steady::time_point now = Clock::Steady::now();
  if (reader_.is_streaming() || progress_timer_.expiry() > now) return;
  if (reader_.has_failed()) return finish(reader_.outcome(), ConnectionReuse::kClose);
  switch (slow_response_.check(now, reader_.progress(), callbacks_.may_retry())) {
    case SlowResponsePolicy::Decision::kWait:
      return check_response_later();
    case SlowResponsePolicy::Decision::kStream:
      return start_streaming();
    case SlowResponsePolicy::Decision::kGiveUp:
      return give_up(Outcome::kReset, EndReason::kResponseIncomplete);
  }
}

void UpstreamAttempt::on_request_end() {
  const auto decision = slow_response_.decide_at_request_end(Clock::Steady::now(), reader_.progress());
  if (decision == SlowResponsePolicy::Decision::kStream) return start_streaming();
  give_up(Outcome::kTimedOut, EndReason::kResponseIncomplete);
}

// Each socket operation holds a reference to the connection because it uses the connection's buffer. An
// attempt that ends releases its connection before its pending operation is cancelled.
void UpstreamAttempt::read_more() {
  http::async_read_some(connection_->socket(), connection_->buffer(), reader_.prepare_read(),
                        [self = shared_from_this(), connection = connection_](error_code error, std::size_t) {
                          if (self->is_finished()) return;
                          if (error == http::error::need_buffer) error = {};
                          self->on_read(error);
                        });
}

// Handles the arrival of a part of the head or the body, or a read error.
void UpstreamAttempt::on_read(error_code error) {
  if (reader_.is_streaming() && reader_.pipe()->is_reader_closed()) {
    return finish(Outcome::kCancelled, ConnectionReuse::kClose);
  }
  reader_.consume_read();
  slow_response_.on_read(Clock::Steady::now(), reader_.body_bytes());
  if (error && !reader_.is_done()) {
    return finish(ResponseReader::outcome_of_read_error(error), ConnectionReuse::kClose);
  }
  if (reader_.is_done()) return on_response_complete();
  if (!reader_.is_streaming() && !stream_or_buffer_response()) return;
  if (!reader_.is_streaming()) return read_more();
  streamed_response_.on_read(Clock::Steady::now(), reader_.body_bytes(), reader_.body_size());
  wait_for_pipe_reader();
}

// Decides whether an incomplete response is streamed or buffered further. Returns false if the attempt has
// ended. Without memory it is streamed: a pipe holds little, however slowly its client reads.
bool UpstreamAttempt::stream_or_buffer_response() {
  const std::size_t bytes = connection_->buffer().capacity() + reader_.memory_bytes();
  if (reservation_.try_resize(bytes) && !reader_.is_large()) return true;
  if (reader_.has_failed()) {
    finish(reader_.outcome(), ConnectionReuse::kClose);
    return false;
  }
  if (reader_.can_be_streamed()) {
    start_streaming();
  } else {
    reservation_.resize(bytes);  // an incomplete head
  }
  return true;
}

// Passes the response head to the client and streams the body from here on. A read in flight continues, and
// its bytes go to the pipe.
void UpstreamAttempt::start_streaming() {
  cancel_timer(timeout_timer_);
  state_ = State::kStreamingResponse;
  reader_.start_streaming(context_->io, context_->budget);
  reader_.pipe()->when_reader_closed([weak = weak_from_this()] {
    const std::shared_ptr<UpstreamAttempt> self = weak.lock();
    if (self && !self->is_finished()) self->finish(Outcome::kCancelled, ConnectionReuse::kClose);
  });
  reservation_.resize(reader_.memory_bytes());
  callbacks_.on_response_started(reader_.head(), reader_.pipe(), elapsed());
  if (!is_finished()) start_streamed_response_clock();
}

void UpstreamAttempt::start_streamed_response_clock() {
  streamed_response_.start(Clock::Steady::now(), reader_.body_bytes(), reader_.body_size(), request_end_);
  watch_streamed_response();
}

// Ends the attempt if the server sends too little of a streamed response.
void UpstreamAttempt::watch_streamed_response() {
  progress_timer_.expires_at(streamed_response_.due_at());
  progress_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    const Clock::Steady::time_point now = Clock::Steady::now();
    if (cancelled || self->is_finished() || self->progress_timer_.expiry() > now) return;
    if (!self->streamed_response_.should_give_up(now)) return self->watch_streamed_response();
    const bool is_arriving = self->streamed_response_.is_arriving(now);
    self->give_up(Outcome::kReset, is_arriving ? EndReason::kResponseOverdue : EndReason::kResponseSilent);
  });
}

// While the pipe is full, the attempt waits for the client and the server's time does not count.
void UpstreamAttempt::wait_for_pipe_reader() {
  const bool is_client_awaited = !reader_.pipe()->is_writable();
  is_client_awaited ? cancel_timer(progress_timer_) : watch_streamed_response();
  reader_.pipe()->when_writable([self = shared_from_this(), is_client_awaited] {
    if (self->is_finished()) return;
    if (self->reader_.pipe()->is_reader_closed()) {
      return self->finish(Outcome::kCancelled, ConnectionReuse::kClose);
    }
    if (is_client_awaited) self->start_streamed_response_clock();
    self->read_more();
  });
}

void UpstreamAttempt::on_response_complete() {
  if (reader_.is_interim()) {
    if (!reader_.accept_interim()) return finish(Outcome::kUnknown, ConnectionReuse::kClose);
    cancel_timer(progress_timer_);  // the final response has not started
    return read_response();
  }
  if (reader_.is_cut_short()) return finish(Outcome::kReset, ConnectionReuse::kClose);
  if (reader_.is_streaming()) reader_.pipe()->finish();
  finish(reader_.outcome(),
         reader_.keeps_connection_open() ? ConnectionReuse::kKeep : ConnectionReuse::kClose);
}

}  // namespace nettleyoke::node
