#include "dispatch/in_flight_request.h"

#include <algorithm>
#include <utility>

namespace nettleyoke::node {

InFlightRequest::InFlightRequest(std::shared_ptr<const OutgoingRequest> message, AnswerCallback callback,
                                 std::size_t request_class, double time_left, double now)
    : message_(std::move(message)),
      callback_(std::move(callback)),
      accepted_at_(now),
      time_left_(time_left),
      history_(request_class, time_left) {}

bool InFlightRequest::has_open_attempts() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.is_open; });
}

void InFlightRequest::set_deadline(double client_deadline,
                                   std::unique_ptr<boost::asio::steady_timer> fallback_timer) {
  attempts_end_at_ = kMargin.attempts_end(client_deadline, time_left_);
  fallback_timer_ = std::move(fallback_timer);
}

bool InFlightRequest::has_deadline_after(double time) const {
  return !is_completed() && fallback_timer_ && attempts_end_at_ + kMargin.of(time_left_) > time;
}

double InFlightRequest::time_for_attempt(double now) const {
  return std::min(attempts_end_at_ - now, time_left_ - kMargin.of(time_left_));
}

std::size_t InFlightRequest::add_attempt(const std::string& server) {
  attempts_.push_back({server});
  return attempts_.size() - 1;
}

void InFlightRequest::set_attempt_handle(std::size_t number, AttemptHandle handle) {
  attempts_[number].handle = std::move(handle);
}

void InFlightRequest::record_attempt(std::size_t number, const AttemptEnd& end) {
  const bool never_ran = end.outcome == Outcome::kRejected || end.outcome == Outcome::kConnectFailed ||
                         end.outcome == Outcome::kNotSent;
  may_have_run_ |= end.was_sent && !never_ran;
  history_.add_attempt(attempts_[number].server, end);
}

void InFlightRequest::answer(FinalAnswer&& answer, double now) {
  const AnswerCallback callback = std::exchange(callback_, nullptr);
  fallback_timer_.reset();
  history_.add_final_answer(answer.kind, now - accepted_at_);
  callback(std::move(answer));
}

void InFlightRequest::abandon(double now) {
  callback_ = nullptr;
  fallback_timer_.reset();
  history_.add_client_disconnect(now - accepted_at_);
}

}  // namespace nettleyoke::node
