// The part of ClientConnection that dispatches requests and writes responses.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dispatch/deadline_margin.h"
#include "downstream/client_connection.h"
#include "downstream/connection_admission.h"
#include "downstream/connection_timeouts.h"
#include "downstream/graceful_shutdown.h"
#include "downstream/local_response.h"
#include "http/message_memory.h"
#include "http/socket_helpers.h"

namespace nettleyoke::node {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// ---------------------------------------------------------------- requests

void ClientConnection::handle_request() {
  HttpRequest request = reader_.take_request();
  is_keep_alive_ = request.keep_alive();
  if (path_of(request) == "/_health") return respond_to_health_check(request.method());
  Request event;
  if (const auto error = validate(request, event)) {
    return reject(*error, reader_.is_uploading() ? Framing::kLost : Framing::kIntact);
  }
  has_sent_valid_request_ = true;
  accounting_.accept(context_->rules.catalog.class_names[event.request_class]);
  if (!reader_.is_uploading()) accounting_.start(context_->metrics);
  const auto forwarded = std::make_shared<ForwardedRequest>(context_->budget);
  reader_.reserve_with_response(0);  // `forwarded` reserves the body's memory
  if (!forwarded->reserve_for(request)) return reject_overload();
  if (context_->shutdown.is_shutting_down()) {
    event.time_left = std::min(event.time_left, context_->shutdown.time_until_last_response().count());
  }
  if (must_reject(event)) return reject_overload();
  forward(std::move(request), std::move(event), forwarded);
}

void ClientConnection::respond_to_health_check(http::verb method) {
  if (method != http::verb::get && method != http::verb::head) {
    return reject(
        {http::status::method_not_allowed, "method is not allowed for /_health; it must be GET or HEAD"},
        Framing::kLost);
  }
  has_sent_valid_request_ = true;
  const bool is_ready = context_->dispatcher.can_serve() && !context_->shutdown.is_shutting_down();
  respond(is_ready ? text_response(http::status::ok, "ok\n")
                   : text_response(http::status::service_unavailable, "not ready\n"));
}

std::optional<RequestError> ClientConnection::validate(const HttpRequest& request, Request& event) const {
  const RequestRules& rules = context_->rules;
  const AcceptedClasses accepted = Clock::Steady::now() < rules.previous_classes_accepted_until
                                       ? AcceptedClasses::kInForceOrPrevious
                                       : AcceptedClasses::kInForce;
  if (auto error = validate_request(request, rules.catalog, accepted, event)) return error;
  if (context_->dispatcher.is_open(event.id)) {
    return RequestError{http::status::bad_request,
                        "X-Request-ID is in use by an open request; it must be unique"};
  }
  const bool is_idempotent = request.method() == http::verb::get;
  if (is_idempotent || !context_->dispatcher.may_have_run_before(event.id)) return std::nullopt;
  return RequestError{http::status::conflict,
                      "X-Request-ID is that of a request that may have run already; it must be unique"};
}

bool ClientConnection::must_reject(const Request& event) const {
  const bool is_short_of_connections = context_->shutdown.is_shutting_down() &&
                                       !context_->admission.is_listener_inherited() &&
                                       context_->admission.is_short_of_free_connections();
  return admission_ == Admission::kRejected || is_short_of_connections || event.time_left <= 0;
}

void ClientConnection::forward(HttpRequest&& request, Request&& event,
                               const std::shared_ptr<ForwardedRequest>& forwarded) {
  request_id_ = event.id;
  forwarded_at_ = Clock::Steady::now();
  is_answer_unconfirmed_ = request.method() != http::verb::get;
  rewrite_for_server(request, reader_.upload().get());
  forwarded->outgoing.request = std::move(request);
  forwarded->outgoing.remaining_body = reader_.upload();
  forwarded->outgoing.is_abandoned = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return !self || self->is_abandoned();
  };
  enter(State::kAwaitingFinalAnswer);
  const double time_limit = event.time_left - DeadlineMargin{}.of(event.time_left);
  if (reader_.is_uploading()) upload_clock_.start(Clock::Steady::now(), Clock::to_duration(time_limit));
  eviction_entry_.remove();
  if (!reader_.is_uploading()) cancel_timer(deadline_);
  context_->dispatcher.accept(std::move(event), {forwarded, &forwarded->outgoing},
                              [weak = weak_from_this()](FinalAnswer&& answer) {
                                if (const auto self = weak.lock()) self->on_final_answer(std::move(answer));
                              });
}

// ---------------------------------------------------------------- responses

void ClientConnection::on_final_answer(FinalAnswer&& answer) {
  if (state_ != State::kAwaitingFinalAnswer || context_ == nullptr) return;
  switch (answer.kind) {
    case FinalAnswer::Kind::kServed:
      remove_hop_by_hop_fields(answer.response);
      if (answer.body) return relay(std::move(answer));
      return respond(std::move(answer.response));
    case FinalAnswer::Kind::kRejected:
      return respond(overload_response(answer.retry_after));
    case FinalAnswer::Kind::kFailed:
      return respond(text_response(http::status::bad_gateway, "failed\n"));
  }
}

// Responds with a client error. If the framing is lost, the connection closes after the response, because the
// start of the next request is unknown.
void ClientConnection::reject(const RequestError& error, Framing framing) {
  if (framing == Framing::kLost) is_keep_alive_ = false;
  // The error is in the streamed body of a request that is already dispatched: the request cannot complete.
  if (state_ == State::kAwaitingFinalAnswer) context_->dispatcher.on_client_disconnected(request_id_);
  is_pause_due_ = true;
  respond(text_response(error.status, std::string(error.reason) + "\n"));
}

void ClientConnection::reject_overload() { respond(overload_response(context_->rules.overload_retry_after)); }

// The rest of the request is not parsed, so that the connection can't be used for another.
void ClientConnection::reject_for_memory() {
  is_keep_alive_ = false;
  reject_overload();
}

// Ends the request: no more of its body is accepted, even if it is incomplete.
void ClientConnection::begin_response() {
  if (has_sent_valid_request_) eviction_entry_.remove();
  enter(State::kWriting);
  accounting_.start(context_->metrics);
  is_request_incomplete_ = !reader_.is_complete() && reader_.is_head_complete();
  if (is_request_incomplete_) is_keep_alive_ = false;
  abort_bodies();
  reader_.release_request();
  upload_clock_ = {};
  const GracefulShutdown& shutdown = context_->shutdown;
  if (shutdown.is_closing_connections() || shutdown.is_handing_over() || admission_ == Admission::kRejected) {
    is_keep_alive_ = false;
  }
}

void ClientConnection::respond(HttpResponse&& response) {
  begin_response();
  reader_.reserve_with_response(response.body().size() + fields_memory_bytes(response));
  writer_.prepare(std::move(response), is_keep_alive_);
  start_writing();
}

// Relays a large response as it arrives from the server.
void ClientConnection::relay(FinalAnswer&& answer) {
  begin_response();
  is_keep_alive_ = writer_.prepare_relay(std::move(answer.response), std::move(answer.body),
                                         reader_.http_version(), is_keep_alive_);
  start_writing();
}

void ClientConnection::start_writing() {
  write_progress_.start(Clock::Steady::now());
  set_deadline(WriteProgress::kCheckInterval);
  write_more();
}

// Writes in steps, because each step shows that the client takes bytes.
void ClientConnection::write_more() {
  writer_.async_write_some(socket_, [self = shared_from_this()](error_code error, std::size_t size) {
    self->on_written(error, size);
  });
}

void ClientConnection::on_written(error_code error, std::size_t size) {
  if (context_ == nullptr || state_ != State::kWriting) return;
  if (size > 0) write_progress_.on_written(Clock::Steady::now(), size);
  if (error == http::error::need_buffer) return write_next_chunk();
  if (error) return close();
  if (!writer_.is_written()) return write_more();
  if (writer_.is_relaying()) {
    writer_.finish_relay();
    write_progress_.on_check(Clock::Steady::now(), unacknowledged_bytes(socket_));
  }
  on_response_written();
}

void ClientConnection::write_next_chunk() {
  const ResponseWriter::Chunk chunk = writer_.next_chunk();
  reader_.reserve_with_response(writer_.chunk_memory_bytes());
  if (chunk == ResponseWriter::Chunk::kAborted) return abort_response();
  if (chunk != ResponseWriter::Chunk::kNotYet) return write_more();
  cancel_timer(deadline_);  // waiting for the server, not for the client
  writer_.when_chunk_available([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->context_ == nullptr || !self->writer_.is_relaying()) return;
    self->write_progress_.on_resumed(Clock::Steady::now());
    self->set_deadline(WriteProgress::kCheckInterval);
    self->write_next_chunk();
  });
}

void ClientConnection::check_write_progress() {
  const Clock::Steady::time_point now = Clock::Steady::now();
  write_progress_.on_check(now, unacknowledged_bytes(socket_));
  if (!write_progress_.has_stalled(now)) return set_deadline(WriteProgress::kCheckInterval);
  if (writer_.is_relaying()) {
    context_->dispatcher.on_client_stalled(
        request_id_, {write_progress_.seconds_since_progress(now), write_progress_.acknowledged_bytes()});
  }
  abort_response();
}

// Keeps the connection for a while if the node has written a relayed response and its client still takes it.
// Bytes that the client sends after a close would reset the connection, and it would lose the rest. Where
// connections are short, the connection is evicted nevertheless.
bool ClientConnection::keep_while_response_is_taken() {
  if (!is_idle() && state_ != State::kLingering) return false;
  const int unacknowledged = unacknowledged_bytes(socket_);
  if (unacknowledged == 0 || !write_progress_.is_checked()) return false;
  if (context_->shutdown.is_closing_connections()) return false;
  const Clock::Steady::time_point now = Clock::Steady::now();
  write_progress_.on_check(now, unacknowledged);
  if (write_progress_.has_stalled(now)) return false;
  if (!eviction_entry_.is_queued()) {
    context_->admission.eviction_queue().add(Evictions::Kind::kIdle, *this, eviction_entry_);
  }
  set_deadline(kLingerTimeout);
  return true;
}

void ClientConnection::on_response_written() {
  accounting_.end(context_->metrics, result_of(writer_.status()));
  writer_.release();
  reader_.reserve_with_response(0);
  if (is_disconnected_) return close();
  if (!is_keep_alive_) return linger();
  if (std::exchange(is_pause_due_, false)) {
    // A client that repeats an error at full speed would keep the event loop from serving other clients:
    // pause before reading its next request.
    enter(State::kPausing);
    return set_deadline(kErrorPause);
  }
  // A request that arrives just before the process is killed is lost together with its connection. Therefore
  // a connection stays open only briefly at the end of a graceful shutdown.
  set_deadline(context_->shutdown.is_closing_connections() ? kLingerTimeout : kIdleTimeout);
  start_next_request();
}

// The server aborted within the body, or the client takes nothing. Resets the connection: if the close marks
// the end of the response, an orderly close would make the partial response look complete.
void ClientConnection::abort_response() {
  set_reset_on_close(socket_, true);
  close();
}

// Closing a socket with unread bytes resets the connection, and the client may lose the response. Therefore
// reads and discards what the client still sends for a while.
void ClientConnection::linger() {
  enter(State::kLingering);
  // With a full read-ahead buffer nothing more would be read, and the close would reset the connection.
  reader_.discard_read_ahead();
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error) return close();
  set_deadline(is_request_incomplete_ ? kIncompleteRequestLingerTimeout : kLingerTimeout);
  read();
}

}  // namespace nettleyoke::node
