/// @file
/// The state of one accepted request until it is settled: its final answer, deadline, attempts and history.
/// It does not start or cancel attempts.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/deadline_margin.h"
#include "dispatch/final_answer.h"
#include "dispatch/request_log.h"
#include "http/message.h"
#include "nettleyoke/events.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

class InFlightRequest {
 public:
  struct Attempt {
    std::string server;
    bool is_open = true;
    AttemptHandle handle = {};
  };

  /// All times are in seconds on the node's clock.
  /// @param time_left s that the client waits, from the last byte of the request
  InFlightRequest(std::shared_ptr<const OutgoingRequest> message, AnswerCallback callback,
                  std::size_t request_class, double time_left, double now);

  const std::shared_ptr<const OutgoingRequest>& message() const { return message_; }
  const RequestHistory& history() const { return history_; }
  double time_left() const { return time_left_; }
  /// Whether the request may run more than once; each class that allows this uses GET, and no other does.
  bool is_idempotent() const { return message_->request.method() == boost::beast::http::verb::get; }

  /// Whether the final answer has been given, or the client has disconnected.
  bool is_completed() const { return !callback_; }
  bool has_open_attempts() const;
  /// Whether the request is completed and has no open attempts.
  bool is_settled() const { return is_completed() && !has_open_attempts(); }
  /// Whether a part of the body is no longer in memory, so that the request can't be sent again.
  bool is_body_consumed() const { return !message_->is_sendable(); }

  /// Called when the last byte of the request has arrived, and again if the deadline becomes earlier.
  /// @param client_deadline when the client gives up
  /// @param fallback_timer fails the request if it has no final answer by then
  void set_deadline(double client_deadline, std::unique_ptr<boost::asio::steady_timer> fallback_timer);
  /// Whether the last byte of the request has arrived; false once the request is completed.
  bool has_deadline() const { return fallback_timer_ != nullptr; }
  /// Whether the request has no final answer yet, has a deadline, and the deadline is after this time.
  bool has_deadline_after(double time) const;
  /// When the attempts of the request end; infinite while its body is still arriving.
  double attempts_end_at() const { return attempts_end_at_; }
  /// @return the longest time in s that an attempt may take if it starts now
  double time_for_attempt(double now) const;

  /// @return the number of the attempt
  std::size_t add_attempt(const std::string& server);
  void set_attempt_handle(std::size_t number, AttemptHandle handle);
  void close_attempt(std::size_t number) { attempts_[number].is_open = false; }
  /// Adds an attempt that has ended to the history.
  void record_attempt(std::size_t number, const AttemptEnd& end);
  /// Whether an attempt that has ended may have run.
  bool may_have_run() const { return may_have_run_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }

  /// Gives the final answer. To be called at most once.
  void answer(FinalAnswer&& answer, double now);
  /// The client has disconnected: no final answer is given.
  void abandon(double now);

 private:
  static constexpr DeadlineMargin kMargin{};

  std::shared_ptr<const OutgoingRequest> message_;
  AnswerCallback callback_;  // empty once the request is completed
  double accepted_at_;
  double time_left_;
  double attempts_end_at_ = std::numeric_limits<double>::infinity();
  std::unique_ptr<boost::asio::steady_timer> fallback_timer_;  // null while there is no deadline
  std::vector<Attempt> attempts_;
  bool may_have_run_ = false;
  RequestHistory history_;
};

}  // namespace nettleyoke::node
