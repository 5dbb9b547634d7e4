/// @file
/// One attempt: a request that is sent once on one connection, and its response. It owns the attempt's state
/// machine and timers, and reports exactly once how the attempt ended.
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
#include "upstream/upstream_context.h"

namespace nettleyoke::node {

class ServerConnection;
class ServerPool;

/// What becomes of an attempt's connection when it ends.
enum class ConnectionReuse { kKeep, kClose };

class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks);

  /// Takes the request and its times, and starts the timeout unless the request's body is still arriving. The
  /// pool then calls begin() once there is a connection, or end_later().
  /// @param times with a timeout above 0
  void assign(std::shared_ptr<ServerPool> pool, const std::shared_ptr<const OutgoingRequest>& request,
              const AttemptTimes& times);
  /// Whether the request's client has left, as far as this machine knows; before begin() alone.
  bool is_abandoned() const { return writer_.is_abandoned(); }
  /// Sends the request on a connection.
  void begin(std::shared_ptr<ServerConnection> connection);
  /// Ends it with the next turn of the event loop: it leaves the queue at once, and a request that is half
  /// written stays so.
  void end_later(Outcome outcome);
  /// Ends it and reports; not from within the call that starts it.
  void finish(Outcome outcome, ConnectionReuse reuse);

  bool has_ended() const { return state_ == State::kEnded; }
  /// Whether the last byte of the request is written: from there on it may have run.
  bool is_sent() const { return state_ != State::kSending; }

 private:
  enum class State {
    kSending,            // waits for a connection, or is being written
    kAwaitingResponse,   // its last byte is written
    kStreamingResponse,  // the response has begun and is passed on as it arrives
    kEnded
  };

  bool is_over() const { return has_ended() || context_->is_closed; }

  void start_timeout();
  void start_silence_timer(Outcome outcome);
  void write();
  void wait_for_body();
  void watch_for_early_close();
  void wait_for_writable();
  void on_sent();

  void read_response();
  void begin_response();
  void on_completion_timeout();
  void read_more();
  void on_read(boost::system::error_code problem);
  bool continue_response();
  void start_streaming();
  void wait_for_reader();
  void on_response_complete();
  double elapsed() const;

  std::shared_ptr<UpstreamContext> context_;
  AttemptCallbacks callbacks_;
  std::shared_ptr<ServerPool> pool_;
  std::shared_ptr<ServerConnection> connection_;
  boost::asio::steady_timer timeout_timer_;
  // From the first byte of the response until it is complete; else for a peer that is silent.
  boost::asio::steady_timer progress_timer_;
  State state_ = State::kSending;
  bool is_ending_ = false;                // end_later() was called: nothing more of the request goes out
  bool is_watching_early_close_ = false;  // for a server that breaks off before it has the complete request
  double timeout_ = 0;                    // s
  Clock::Steady::time_point sent_at_ = Clock::Steady::now();  // when it began, until it is known better
  Clock::Steady::time_point first_byte_at_;
  MemoryBudget::Reservation reservation_;  // of the request on the wire, then of the response
  RequestWriter writer_{reservation_};
  ResponseReader reader_;
};

}  // namespace nettleyoke::node
