/// @file
/// One request between its acceptance and its end: whether it is still owed an answer, its time, its attempts
/// and its history. It never starts or cancels an attempt itself.
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

  /// @param time_left s that the client gives, from the last byte of the request
  /// @param now s on the node's clock, as everywhere here
  InFlightRequest(std::shared_ptr<const OutgoingRequest> message, AnswerCallback callback,
                  std::size_t request_class, double time_left, double now);

  const std::shared_ptr<const OutgoingRequest>& message() const { return message_; }
  const RequestHistory& history() const { return history_; }
  double time_left() const { return time_left_; }

  /// Whether no answer is owed any more: it is out, or nobody waits for it.
  bool is_completed() const { return !callback_; }
  bool has_open_attempts() const;
  /// Whether nothing of the request is left to happen.
  bool is_settled() const { return is_completed() && !has_open_attempts(); }
  /// Whether a part of the body is gone, so that the request can't be sent again.
  bool is_body_consumed() const { return !message_->is_sendable(); }

  /// The last byte has arrived, or the time is bounded anew.
  /// @param end when the client gives up
  /// @param fallback_timer fails the request if nothing else answers it
  void set_end(double end, std::unique_ptr<boost::asio::steady_timer> fallback_timer);
  /// Whether an answer is owed, its time runs, and the client would wait for longer than this.
  bool is_due_after(double bound) const;
  /// s that an attempt may take which starts now.
  double time_for_attempt(double now) const;

  /// @return the number of the attempt
  std::size_t add_attempt(const std::string& server);
  void set_attempt_handle(std::size_t number, AttemptHandle handle);
  void close_attempt(std::size_t number) { attempts_[number].is_open = false; }
  /// @param elapsed s
  void record_attempt(std::size_t number, Outcome outcome, double elapsed);
  const std::vector<Attempt>& attempts() const { return attempts_; }

  /// Gives the final answer, once.
  void answer(FinalAnswer&& answer, double now);
  /// Nobody waits for the answer any more.
  void abandon(double now);

 private:
  static constexpr DeadlineMargin kMargin{};

  std::shared_ptr<const OutgoingRequest> message_;
  AnswerCallback callback_;  // empty once the request is completed
  double accepted_at_;
  double time_left_;
  double attempts_end_at_ = std::numeric_limits<double>::infinity();
  std::unique_ptr<boost::asio::steady_timer> fallback_timer_;  // while the time runs
  std::vector<Attempt> attempts_;
  RequestHistory history_;
};

}  // namespace nettleyoke::node
