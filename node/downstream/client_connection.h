/// @file
/// One client's connection, from its accept to its close: reads requests one after the other, has each
/// dispatched, and writes its answer. Owns the socket, the state and the deadlines; leaves the parsing to
/// RequestReader and the answers' bytes to ResponseWriter. Decides nothing on requests beyond their form.
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

namespace nettleyoke::node {

/// Notices a client that disconnects by a read, or by polling while it can't read; keeps what comes before
/// its turn, up to a bound.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using List = std::list<std::shared_ptr<ClientConnection>>;
  using Evictions = EvictionQueue<ClientConnection>;

  /// Whether what the client asks for is served.
  enum class Admission {
    kAdmitted,
    kRejected,  ///< there are too many: its first request is answered with an overload, and it is closed
  };

  ClientConnection(ConnectionContext& context, boost::asio::ip::tcp::socket socket, Admission admission);

  /// Waits for the first request.
  void start();

  /// Its place in the list of its owner.
  void set_position(List::iterator position) { position_ = position; }
  List::iterator position() const { return position_; }

  /// Whether it has sent nothing of a request for at least so long.
  bool is_quiet_for(Clock::Steady::duration period) const;
  /// Whether bytes of it have come that are not read yet.
  bool has_unread_bytes();
  /// Closes it for others. A client that has begun a request is answered with an overload, as far as that
  /// goes without waiting.
  void evict();

  /// Whether it waits for a request and nothing of one has come.
  bool is_idle() const;
  /// Whether its first request may be on its way.
  bool is_first_request_expected() const;
  /// What has not sent a request soon is closed.
  void shorten_deadline();
  /// Closes it without an answer; does nothing where it is closed. Its owner drops it.
  void close();
  /// Its owner ends before it: it forgets the context, and nothing happens on it any more.
  void detach();

 private:
  enum class State {
    kReading,         ///< waits for a request, or is in the midst of one
    kAwaitingAnswer,  ///< a request is dispatched, though its body may still be arriving
    kWriting,         ///< an answer is being written
    kPausing,         ///< after an error of the client's: reads no request for a while
    kLingering,       ///< its last answer is written; passes over what still comes
    kClosed,
  };
  /// The one read that may be pending on the socket.
  enum class PendingRead {
    kNone,
    kWaiting,
    kHasBytes,  ///< what had come already was read at once, and is handed over in a later turn of the loop
  };
  /// Whether the end of a rejected request is known.
  enum class Framing { kIntact, kLost };

  static bool may_follow(State from, State to);
  void enter(State next);
  void set_deadline(Clock::Steady::duration from_now);
  void on_deadline();
  void abort_bodies();

  // Reading.
  void start_next_request();
  void track_as_evictable();
  void read();
  void on_read(boost::system::error_code error, std::size_t size);
  void skip_lingering_bytes(std::size_t size);
  void poll_disconnect();
  bool has_disconnected();
  bool is_abandoned();
  void parse_read_ahead();
  void on_request_begun();
  [[nodiscard]] bool accept_head();
  [[nodiscard]] bool send_continue();
  [[nodiscard]] bool accept_body(std::size_t size);
  void wait_for_upload();
  void finish_upload();

  // Requests.
  void handle_request();
  void answer_health_check(boost::beast::http::verb method);
  [[nodiscard]] std::optional<RequestError> validate(const HttpRequest& request, Request& event) const;
  [[nodiscard]] bool must_reject(const Request& event) const;
  void forward(HttpRequest&& request, Request&& event, const std::shared_ptr<ForwardedRequest>& forwarded);

  // Answers.
  void on_answer(FinalAnswer&& answer);
  void reject(const RequestError& error, Framing framing);
  void reject_overload();
  void begin_answer();
  void respond(HttpResponse&& response);
  void on_response_written();
  void relay(FinalAnswer&& answer);
  void relay_next(boost::system::error_code error);
  void on_relay_written(boost::system::error_code error);
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
  bool is_disconnected_ = false;         // the client has closed its side
  bool has_sent_valid_request_ = false;  // proven
  bool is_keep_alive_ = true;            // may go on after the answer
  bool is_pause_due_ = false;            // after the answer
  bool is_request_incomplete_ = false;   // the answer began before the request's last byte
  RequestReader reader_;
  ResponseWriter writer_;
  RequestAccounting accounting_;
  Evictions::Place eviction_place_;
  List::iterator position_;
  std::size_t lingered_bytes_ = 0;
  Clock::Steady::time_point quiet_since_;  // when it was last ready for a request
  std::string request_id_;
};

}  // namespace nettleyoke::node
