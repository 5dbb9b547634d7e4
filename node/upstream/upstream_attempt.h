/// @file
/// One attempt: sends a request once on one connection and receives the response. Owns the state machine and
/// the timers of the attempt, and reports its outcome exactly once.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "clock.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"
#include "upstream/attempt_types.h"
#include "upstream/request_writer.h"
#include "upstream/response_reader.h"
#include "upstream/slow_response_policy.h"
#include "upstream/streamed_response_policy.h"
#include "upstream/upstream_context.h"

namespace nettleyoke::node {

class ServerConnection;
class ServerPool;

/// Whether to keep or close an attempt's connection when the attempt ends.
enum class ConnectionReuse { kKeep, kClose };

class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks);

  /// Starts the attempt: starts the timeout unless the request's body is still arriving, and asks the pool
  /// for a connection. The pool calls begin() once there is one, or finish_later() if none can be opened.
  /// @param limits with a timeout above 0
  void assign(std::shared_ptr<ServerPool> pool, const std::shared_ptr<const OutgoingRequest>& request,
              const AttemptTimeLimits& limits);
  /// Whether the client has closed its connection (see OutgoingRequest::is_abandoned). Only valid before
  /// begin().
  bool is_abandoned() const { return writer_.is_abandoned(); }
  /// Sets when the time of the request ends, which may be known only after the attempt has started.
  void set_request_end(Clock::Steady::time_point end);
  /// Sends the request on a connection.
  void begin(std::shared_ptr<ServerConnection> connection);
  /// Ends the attempt in a later handler of the event loop. The attempt leaves the pool's queue at once, and
  /// no more of the request is written.
  void finish_later(Outcome outcome);
  /// Cancels the attempt unless the server has received the whole request. If the request is written but not
  /// acknowledged, the decision is made after kMaxAcknowledgementDelay.
  void cancel_undelivered();
  /// Ends the attempt and reports the outcome. Must not be called inside the call that starts the attempt.
  void finish(Outcome outcome, ConnectionReuse reuse);
  /// Ends the attempt, closes its connection and reports the outcome with a reason.
  void give_up(Outcome outcome, EndReason reason);

  bool has_ended() const { return state_ == State::kEnded; }
  /// Whether the last byte of the request is written: from then on the server may have executed the request.
  bool is_sent() const { return state_ != State::kSending; }

 private:
  enum class State {
    kSending,            // waits for a connection or writes the request
    kAwaitingResponse,   // the last byte of the request is written
    kStreamingResponse,  // the response has started and its body is streamed
    kEnded
  };

  bool is_finished() const { return has_ended() || context_->is_closed; }

  void start_timeout();
  void set_timeout_at(Clock::Steady::time_point time);
  void on_timeout();
  void on_request_end();
  void give_up_if_undelivered_at(Clock::Steady::time_point time, Outcome outcome);
  void watch_request_progress(int unacknowledged, Clock::Steady::time_point silent_since);
  void write();
  void wait_for_body();
  void watch_for_early_close();
  void wait_for_socket_writable();
  void on_sent();

  void read_response();
  void begin_response();
  void check_response();
  void check_response_later();
  void read_more();
  void on_read(boost::system::error_code error);
  bool stream_or_buffer_response();
  void start_streaming();
  void start_streamed_response_clock();
  void watch_streamed_response();
  void wait_for_pipe_reader();
  void on_response_complete();
  double elapsed() const;

  std::shared_ptr<UpstreamContext> context_;
  AttemptCallbacks callbacks_;
  std::shared_ptr<ServerPool> pool_;
  std::shared_ptr<ServerConnection> connection_;
  boost::asio::steady_timer timeout_timer_;
  // For the next check of a response that has begun, and for the progress of the peer during streaming.
  boost::asio::steady_timer progress_timer_;
  State state_ = State::kSending;
  boost::asio::steady_timer delivery_timer_;  // for the acknowledgement of the request
  bool is_finish_scheduled_ = false;          // finish_later() was called: no more of the request is written
  bool is_watching_early_close_ = false;      // for a server that closes before it has the complete request
  EndReason end_reason_ = EndReason::kServer;
  double timeout_ = 0;                                                        // s
  Clock::Steady::time_point request_end_ = Clock::Steady::time_point::max();  // of the request's time
  // The start of the attempt; for a streamed request, the time when its last byte was written.
  Clock::Steady::time_point sent_at_ = Clock::Steady::now();
  Clock::Steady::time_point first_byte_at_;
  MemoryBudget::Reservation reservation_;  // for the serialized request, then for the response
  RequestWriter writer_{reservation_};
  ResponseReader reader_;
  SlowResponsePolicy slow_response_;
  StreamedResponsePolicy streamed_response_;
};

}  // namespace nettleyoke::node
