#include "downstream/client_connection.h"

#include <poll.h>

#include <boost/asio/post.hpp>
#include <cassert>
#include <chrono>
#include <optional>
#include <span>
#include <sstream>
#include <string_view>
#include <utility>

#include "downstream/connection_admission.h"
#include "downstream/connection_timeouts.h"
#include "downstream/graceful_shutdown.h"
#include "downstream/local_response.h"
#include "http/socket_helpers.h"

namespace nettleyoke::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bytes that a client may still send after the last response; they are discarded. With more the connection
/// is closed at once.
constexpr std::size_t kMaxLingeredBytes = std::size_t{256} * 1024;

/// Sends as many bytes as the socket accepts without blocking.
/// @return whether all bytes were sent.
bool try_send_all(tcp::socket& socket, std::string_view bytes) {
  const ssize_t sent = send_without_waiting(socket, bytes.data(), bytes.size());
  return sent == static_cast<ssize_t>(bytes.size());
}

}  // namespace

ClientConnection::ClientConnection(ConnectionContext& context, tcp::socket socket, Admission admission)
    : context_(&context),
      socket_(std::move(socket)),
      deadline_(context.io),
      disconnect_poll_(context.io),
      admission_(admission),
      reader_(context.budget) {}

// ---------------------------------------------------------------- lifetime

void ClientConnection::start() {
  set_deadline(context_->shutdown.is_closing_connections() ? kLingerTimeout : kFirstRequestTimeout);
  start_next_request();
}

bool ClientConnection::is_valid_transition(State from, State to) {
  switch (to) {
    case State::kReading:
      return from == State::kReading || from == State::kWriting || from == State::kPausing;
    case State::kAwaitingFinalAnswer:
      return from == State::kReading;
    case State::kWriting:
      return from == State::kReading || from == State::kAwaitingFinalAnswer;
    case State::kPausing:
    case State::kLingering:
      return from == State::kWriting;
    case State::kClosed:
      return from != State::kClosed;
  }
  return false;
}

void ClientConnection::enter(State next) {
  assert(is_valid_transition(state_, next));
  state_ = next;
}

void ClientConnection::close() {
  if (state_ == State::kClosed) return;
  const bool is_final_answer_due = state_ == State::kAwaitingFinalAnswer;
  confirm_answer_at_close(state_);
  enter(State::kClosed);
  eviction_entry_.remove();
  cancel_timer(deadline_);
  cancel_timer(disconnect_poll_);
  error_code ignored;
  socket_.close(ignored);
  abort_bodies();
  ConnectionContext* context = std::exchange(context_, nullptr);
  if (context == nullptr) return;
  if (is_final_answer_due) context->dispatcher.on_client_disconnected(request_id_);
  accounting_.end(context->metrics, RequestResult::kFailed);
  context->admission.on_connection_closed(*this);  // may destroy this connection
}

void ClientConnection::detach() {
  eviction_entry_.remove();
  abort_bodies();
  context_ = nullptr;
}

// Notifies the server side of both pipes that this connection neither sends nor reads any more.
void ClientConnection::abort_bodies() {
  reader_.abort_upload();
  writer_.close_source();
}

void ClientConnection::confirm_answer() {
  if (std::exchange(is_answer_unconfirmed_, false)) context_->dispatcher.on_answer_received(request_id_);
}

// Without an error, the client's system has the whole answer once it has acknowledged all bytes.
void ClientConnection::confirm_answer_at_close(State last_state) {
  const bool is_answer_written = last_state != State::kAwaitingFinalAnswer && last_state != State::kWriting;
  if (context_ != nullptr && is_answer_written && !is_reset_ && unacknowledged_bytes(socket_) == 0) {
    confirm_answer();
  }
}

bool ClientConnection::is_quiet_for(Clock::Steady::duration period) const {
  return !reader_.has_begun() && Clock::Steady::now() - quiet_since_ >= period;
}

bool ClientConnection::is_idle() const {
  return state_ == State::kReading && !reader_.has_read_ahead() && !reader_.has_begun();
}

bool ClientConnection::is_first_request_expected() const {
  return !has_sent_valid_request_ && !is_quiet_for(Evictions::kUnprovenQuietPeriod);
}

bool ClientConnection::has_unread_bytes() {
  error_code ignored;
  return pending_read_ == PendingRead::kHasBytes || socket_.available(ignored) > 0;
}

void ClientConnection::evict() {
  if (reader_.has_begun()) {
    HttpResponse response = overload_response(context_->rules.overload_retry_after);
    response.keep_alive(false);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    try_send_all(socket_, std::move(text).str());
  }
  close();
}

// ---------------------------------------------------------------- deadlines

void ClientConnection::set_deadline(Clock::Steady::duration from_now) {
  deadline_.expires_after(from_now);
  deadline_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && Clock::Steady::now() >= self->deadline_.expiry()) self->on_deadline();
  });
}

void ClientConnection::shorten_deadline() {
  if (state_ == State::kReading || state_ == State::kPausing) set_deadline(kLingerTimeout);
}

void ClientConnection::on_deadline() {
  if (context_ == nullptr) return;
  // The next request may have been read just before a graceful shutdown began to close connections: it is
  // still served.
  const bool is_closing = context_->shutdown.is_closing_connections();
  if (state_ == State::kPausing && (!is_closing || reader_.has_read_ahead())) {
    set_deadline(is_closing ? kLingerTimeout : kIdleTimeout);
    return start_next_request();
  }
  if (state_ == State::kReading && reader_.has_begun()) {
    return reject(
        {http::status::request_timeout, "request is incomplete at its read deadline; it must arrive sooner"},
        Framing::kLost);
  }
  // Bytes that arrived just before the deadline still count: they are read next.
  if (state_ == State::kReading && has_unread_bytes()) return set_deadline(kLingerTimeout);
  if (state_ == State::kWriting) return check_write_progress();
  if (keep_while_response_is_taken()) return;
  if (state_ == State::kAwaitingFinalAnswer && upload_clock_.is_blocked()) {
    return context_->dispatcher.reject_incomplete(request_id_);
  }
  if (state_ != State::kAwaitingFinalAnswer || reader_.is_uploading()) close();
}

// ---------------------------------------------------------------- reading

void ClientConnection::start_next_request() {
  enter(State::kReading);
  quiet_since_ = Clock::Steady::now();
  reader_.start_request();
  if (reader_.has_read_ahead() && has_disconnected()) return close();
  parse_read_ahead();
  if (state_ == State::kReading) {
    track_as_evictable();
    if (!reader_.has_begun()) reader_.shrink_read_ahead();
  }
  read();  // parsing may have consumed read-ahead bytes and freed buffer space
}

void ClientConnection::track_as_evictable() {
  Evictions& queue = context_->admission.eviction_queue();
  if (has_sent_valid_request_) {
    if (!reader_.has_begun()) queue.add(Evictions::Kind::kIdle, *this, eviction_entry_);
  } else if (!eviction_entry_.is_queued()) {
    queue.add(Evictions::Kind::kUnproven, *this, eviction_entry_);
  }
}

void ClientConnection::read() {
  if (pending_read_ != PendingRead::kNone || state_ == State::kClosed) return;
  if (!reader_.has_room_for_read()) return poll_disconnect();
  // Bytes that are available now are read at once, but the handler runs in a later event loop iteration.
  // Until then they are neither in the socket nor in the reader, and without kHasBytes the connection would
  // look idle.
  pending_read_ = has_unread_bytes() ? PendingRead::kHasBytes : PendingRead::kWaiting;
  if (pending_read_ == PendingRead::kWaiting && reader_.is_uploading()) {
    upload_clock_.on_drained(Clock::Steady::now());
  }
  socket_.async_read_some(reader_.receive_buffer(),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            self->pending_read_ = PendingRead::kNone;
                            self->on_read(error, size);
                          });
}

void ClientConnection::on_read(error_code error, std::size_t size) {
  if (context_ == nullptr || state_ == State::kClosed) return;
  // A client that closes its sending side counts as disconnected, although HTTP lets it still read responses.
  if (error) {
    is_disconnected_ = true;
    is_reset_ = error != asio::error::eof;
    if (state_ != State::kWriting || writer_.is_relaying()) close();
    return;
  }
  if (state_ == State::kLingering) return skip_lingering_bytes(size);
  reader_.append_received(size);
  if (state_ == State::kReading || reader_.is_uploading()) parse_read_ahead();
  read();
}

void ClientConnection::skip_lingering_bytes(std::size_t size) {
  lingered_bytes_ += size;
  if (lingered_bytes_ > (is_request_incomplete_ ? kBodyLimit : kMaxLingeredBytes)) return close();
  read();
}

// Polls for a client disconnect, because no read is pending that would report it.
void ClientConnection::poll_disconnect() {
  if (is_polling_disconnect_ || state_ != State::kAwaitingFinalAnswer) return;
  is_polling_disconnect_ = true;
  disconnect_poll_.expires_after(kDisconnectPollInterval);
  disconnect_poll_.async_wait([self = shared_from_this()](error_code) {
    self->is_polling_disconnect_ = false;
    if (self->context_ == nullptr || self->state_ != State::kAwaitingFinalAnswer) return;
    if (self->has_disconnected()) return self->close();
    self->read();
  });
}

// Detects a disconnect even if bytes that precede it have not been read yet.
bool ClientConnection::has_disconnected() {
  if (is_disconnected_) return true;
  pollfd socket_state{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&socket_state, 1, 0) > 0 && (socket_state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// The end of the connection is behind bytes for which there is no memory, so that the node can't tell whether
// the client is still there. Only clients that send many requests ahead bring this about.
bool ClientConnection::is_disconnect_hidden() {
  // The client was there when it took the answer to the request before this one.
  if (Clock::Steady::now() < forwarded_at_ + kDisconnectPollInterval) return false;
  return !reader_.is_uploading() && !reader_.has_room_for_read() && has_unread_bytes();
}

// A client may have disconnected although its request was just read: the bytes are read before the end of the
// stream, and they may have waited in the listener's queue while there was no capacity, or in a delayed event
// loop. Forwarding such a request would be useless work for a server.
bool ClientConnection::is_abandoned() {
  if (state_ != State::kAwaitingFinalAnswer) return true;
  if (!has_disconnected()) return is_disconnect_hidden();
  asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->state_ == State::kAwaitingFinalAnswer) self->close();
  });
  return true;
}

// Sets the read deadline once for all steps: a small read may hold thousands of chunks, and each change of
// the timer leaves a handler in the event loop.
void ClientConnection::parse_read_ahead() {
  parse_steps();
  if (is_body_awaited()) set_deadline(Clock::to_duration(reader_.time_for_next_body_bytes().count()));
}

// Whether the client has to send more of a body, and the node reads it.
bool ClientConnection::is_body_awaited() const {
  if (reader_.is_uploading()) return !upload_clock_.is_blocked();
  return state_ == State::kReading && reader_.is_head_complete() && !reader_.is_complete();
}

// Parses up to the end of one request, or as much of its body as can be buffered or streamed now.
void ClientConnection::parse_steps() {
  while ((state_ == State::kReading || reader_.has_writable_upload()) && reader_.has_read_ahead()) {
    if (reader_.mark_begun()) on_request_begun();
    const RequestReader::ParseStep step = reader_.parse_step(context_->body_chunk);
    if (step.is_memory_exhausted) return reject_for_memory();
    if (step.error) return reject(*step.error, Framing::kLost);
    if (step.is_head_completed && !accept_head()) return;
    if (!accept_body(step.body_bytes)) return;
    if (reader_.is_complete()) return reader_.is_uploading() ? finish_upload() : handle_request();
    if (step.consumed_bytes == 0) return;
  }
}

// The deadline of the first request is set when the connection is accepted and stays as it is.
void ClientConnection::on_request_begun() {
  confirm_answer();
  if (!has_sent_valid_request_) return;
  eviction_entry_.remove();
  set_deadline(kRequestHeadTimeout);
}

// Checks the head's body length and Expect field before the body is read.
bool ClientConnection::accept_head() {
  if (is_length_ambiguous(reader_.head())) {
    reject({http::status::bad_request,
            "body length is ambiguous; the head must have at most one of Content-Length (one number) and "
            "Transfer-Encoding (chunked, HTTP/1.1 only)"},
           Framing::kLost);
    return false;
  }
  if (boost::beast::iequals(reader_.head()[http::field::expect], "100-continue") && !send_continue()) {
    close();
    return false;
  }
  reader_.start_body_clock();
  return true;
}

// Sends without an asynchronous write, which could still be pending when the response begins and would mix
// with it. Nothing else is being written now, so the socket accepts these few bytes at once or the send
// fails.
bool ClientConnection::send_continue() { return try_send_all(socket_, "HTTP/1.1 100 Continue\r\n\r\n"); }

// Buffers or streams `size` bytes of the body. Returns false if the rest of the request must not be parsed.
bool ClientConnection::accept_body(std::size_t size) {
  reader_.store_body(std::span<const char>(context_->body_chunk).first(size));
  if (reader_.is_uploading()) {
    if (!reader_.has_writable_upload()) wait_for_upload_space();
    return true;
  }
  switch (reader_.place_body()) {
    case RequestReader::BodyPlacement::kBuffered:
      return true;
    case RequestReader::BodyPlacement::kStreamed:
      reader_.start_upload(context_->io);
      handle_request();
      return reader_.is_uploading();
    case RequestReader::BodyPlacement::kRejected:
      reject_for_memory();
      return false;
  }
  return false;
}

// Suspends the read deadline until the pipe has space: the server reads more slowly than the client sends,
// and the client must not time out because of that. It is owed an answer in time if it may have sent all.
void ClientConnection::wait_for_upload_space() {
  const Clock::Steady::time_point now = Clock::Steady::now();
  upload_clock_.on_blocked(now, reader_.remaining_body_bytes());
  cancel_timer(deadline_);
  if (const auto due_at = upload_clock_.answer_due_at()) set_deadline(*due_at - now);
  reader_.upload()->when_writable([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->context_ == nullptr || !self->reader_.is_uploading()) return;
    if (self->reader_.upload()->is_reader_closed()) return;  // the response is about to begin
    self->upload_clock_.on_unblocked();
    self->set_deadline(kMaxBodyPause);
    self->parse_read_ahead();
    self->read();
  });
}

void ClientConnection::finish_upload() {
  if (has_disconnected()) return close();  // the server must not get the complete request
  cancel_timer(deadline_);
  reader_.finish_upload();
  accounting_.start(context_->metrics);
  context_->dispatcher.on_body_complete(request_id_,
                                        upload_clock_.last_byte_written_at(Clock::Steady::now()));
}

}  // namespace nettleyoke::node
