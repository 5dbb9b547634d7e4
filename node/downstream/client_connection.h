/// @file
/// One client connection, from accept to close: reads requests one at a time, passes each to the dispatcher
/// and writes its response. Owns the socket, the connection state and the timers; RequestReader parses the
/// requests and ResponseWriter writes the responses. Checks only whether a request is well-formed and whether
/// there is capacity for it; the dispatcher decides everything else.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>

#include "clock.h"
#include "downstream/connection_context.h"
#include "downstream/eviction_queue.h"
#include "downstream/forwarded_request.h"
#include "downstream/request_accounting.h"
#include "downstream/request_reader.h"
#include "downstream/response_writer.h"
#include "downstream/upload_clock.h"
#include "downstream/write_progress.h"

namespace nettleyoke::node {

/// Detects a client disconnect through a pending read, or by polling while its buffers are full and it cannot
/// read. Buffers pipelined requests up to a limit while an earlier request is in progress.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using List = std::list<std::shared_ptr<ClientConnection>>;
  using Evictions = EvictionQueue<ClientConnection>;

  /// Whether the client's requests are served.
  enum class Admission {
    kAdmitted,
    kRejected,  ///< too many connections: its first request gets an overload response, then it is closed
  };

  ClientConnection(ConnectionContext& context, boost::asio::ip::tcp::socket socket, Admission admission);

  /// Waits for the first request.
  void start();

  /// Iterator to this connection in its owner's list.
  void set_position(List::iterator position) { position_ = position; }
  List::iterator position() const { return position_; }

  /// Whether the reader has been waiting for the first byte of a request for at least `period`.
  bool is_quiet_for(Clock::Steady::duration period) const;
  /// Whether the client has sent bytes that have not been handed to the reader yet.
  bool has_unread_bytes();
  /// Closes this connection to make capacity for another one. A client that has begun a request is sent an
  /// overload response first, as far as the socket accepts it without blocking.
  void evict();

  /// Whether it waits for a request and has received no byte of one.
  bool is_idle() const;
  /// Whether the client has sent no valid request yet and may be about to send its first one.
  bool is_first_request_expected() const;
  /// Closes the connection unless a request arrives soon; has no effect while a request is being served.
  void shorten_deadline();
  /// Closes the connection without a response and has the owner drop it. No effect if already closed.
  void close();
  /// Called when the owner is destroyed first: clears the context, after which handlers do nothing.
  void detach();

 private:
  enum class State {
    kReading,              ///< waits for a request or is receiving one
    kAwaitingFinalAnswer,  ///< a request is dispatched, though its body may still be arriving
    kWriting,              ///< a response is being written
    kPausing,              ///< after a client error: reads no request for a while
    kLingering,            ///< the last response is written; discards what the client still sends
    kClosed,
  };
  /// The one read that may be pending on the socket.
  enum class PendingRead {
    kNone,
    kWaiting,
    kHasBytes,  ///< bytes were available when it started; its handler runs in a later event loop iteration
  };
  /// Whether it is known where a rejected request ends, so that the next one can be parsed.
  enum class Framing { kIntact, kLost };

  static bool is_valid_transition(State from, State to);
  void enter(State next);
  void set_deadline(Clock::Steady::duration from_now);
  void on_deadline();
  void abort_bodies();
  void confirm_answer();
  void confirm_answer_at_close(State last_state);

  // Reading.
  void start_next_request();
  void track_as_evictable();
  void read();
  void on_read(boost::system::error_code error, std::size_t size);
  void skip_lingering_bytes(std::size_t size);
  void poll_disconnect();
  bool has_disconnected();
  bool is_disconnect_hidden();
  bool is_abandoned();
  void parse_read_ahead();
  void parse_steps();
  [[nodiscard]] bool is_body_awaited() const;
  void on_request_begun();
  [[nodiscard]] bool accept_head();
  [[nodiscard]] bool send_continue();
  [[nodiscard]] bool accept_body(std::size_t size);
  void wait_for_upload_space();
  void finish_upload();

  // Requests.
  void handle_request();
  void respond_to_health_check(boost::beast::http::verb method);
  [[nodiscard]] std::optional<RequestError> validate(const HttpRequest& request, Request& event) const;
  [[nodiscard]] bool must_reject(const Request& event) const;
  void forward(HttpRequest&& request, Request&& event, const std::shared_ptr<ForwardedRequest>& forwarded);

  // Responses.
  void on_final_answer(FinalAnswer&& answer);
  void reject(const RequestError& error, Framing framing);
  void reject_overload();
  void reject_for_memory();
  void begin_response();
  void respond(HttpResponse&& response);
  void relay(FinalAnswer&& answer);
  void start_writing();
  void write_more();
  void on_written(boost::system::error_code error, std::size_t size);
  void write_next_chunk();
  void check_write_progress();
  [[nodiscard]] bool keep_while_response_is_taken();
  void on_response_written();
  void abort_response();
  void linger();

  ConnectionContext* context_;  // null once closed or detached
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  boost::asio::steady_timer disconnect_poll_;
  Admission admission_;
  State state_ = State::kReading;
  PendingRead pending_read_ = PendingRead::kNone;
  bool is_polling_disconnect_ = false;
  bool is_disconnected_ = false;  // the client has closed its side
  bool is_reset_ = false;         // the connection ended with an error
  bool is_answer_unconfirmed_ =
      false;  // the client may not have the answer to `request_id_`, which is not idempotent
  bool has_sent_valid_request_ = false;
  bool is_keep_alive_ = true;           // the connection stays open after the response
  bool is_pause_due_ = false;           // pause reading after the response
  bool is_request_incomplete_ = false;  // the response began before the request's last byte
  RequestReader reader_;
  UploadClock upload_clock_;  // of the streamed body
  ResponseWriter writer_;
  WriteProgress write_progress_;
  RequestAccounting accounting_;
  Evictions::Entry eviction_entry_;
  List::iterator position_;
  std::size_t lingered_bytes_ = 0;
  Clock::Steady::time_point forwarded_at_;  // when the present request was passed to the dispatcher
  Clock::Steady::time_point quiet_since_;   // when it last began to wait for a request
  std::string request_id_;
};

}  // namespace nettleyoke::node
