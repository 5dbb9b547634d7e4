#include "dispatch/dispatcher.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>
#include <vector>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr DeadlineMargin kMargin{};

// The Retry-After of a request that is rejected because too many requests are open, as a fraction of the
// longest Retry-After that the settings allow.
constexpr double kOverflowRetryAfterFraction = 0.5;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
                       std::size_t max_open_requests, UpstreamClient& upstream, SentRequests& sent_requests,
                       std::function<void()> start_watch)
    : io_(io),
      clock_(clock),
      decision_loop_(clock, settings, seed, *this),
      must_watch_(settings.must_watch),
      rewatch_pauses_(seed),
      max_open_requests_(max_open_requests),
      overflow_retry_after_(settings.max_retry_after * kOverflowRetryAfterFraction),
      upstream_(upstream),
      sent_requests_(sent_requests),
      start_watch_(std::move(start_watch)),
      rewatch_timer_(io),
      answers_due_timer_(io),
      request_log_(std::clog) {}

void Dispatcher::start(const EndpointList& initial_endpoint_list) {
  if (!initial_endpoint_list.endpoints.empty()) apply_endpoint_list(initial_endpoint_list);
  decision_loop_.enqueue_event(Started{});
  if (!must_watch_) start_watch_();
}

void Dispatcher::replace_settings(const Settings& settings, std::size_t max_open_requests) {
  const bool had_to_watch = std::exchange(must_watch_, settings.must_watch);
  max_open_requests_ = max_open_requests;
  overflow_retry_after_ = settings.max_retry_after * kOverflowRetryAfterFraction;
  rewatch_pauses_.reset();
  decision_loop_.enqueue_event(SettingsReplaced{settings});
  if (had_to_watch && !must_watch_) start_watch_();
}

// ---------------------------------------------------------------- membership

void Dispatcher::on_endpoint_list(const EndpointList& update) {
  has_received_endpoint_list_ = true;
  apply_endpoint_list(update);
}

void Dispatcher::apply_endpoint_list(const EndpointList& update) {
  decision_loop_.enqueue_event(membership_.apply(update, *this));
}

void Dispatcher::on_server_listed(const Endpoint& endpoint, bool usable) {
  upstream_.update_server(endpoint.server.address, endpoint.endpoint, endpoint.server.started, usable);
}

void Dispatcher::on_server_removed(const std::string& name) { upstream_.remove_server(name); }

// A watch that receives only empty lines, because nothing changes, and then breaks is not a failure. Counting
// it as one would lengthen the backoff of later watches, in the end beyond the time after which the node
// counts as notified of a change. The update without changes resets the backoff of the decision library.
void Dispatcher::on_watch_alive() {
  rewatch_pauses_.reset();
  if (membership_.listed_servers() == 0) return;
  decision_loop_.enqueue_event(MembershipUpdate{MembershipUpdate::Form::kChanges, {}});
}

void Dispatcher::on_watch_failed() {
  decision_loop_.enqueue_event(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  if (must_watch_) return;
  // If discovery pushes lists, the decision library requests no polls, and the node reconnects by itself.
  rewatch_timer_.expires_after(Clock::to_duration(rewatch_pauses_.next()));
  rewatch_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) start_watch_();
  });
}

void Dispatcher::set_disabled_servers(const std::set<std::string>& servers) {
  for (const std::string& name : membership_.set_disabled(servers)) {
    const bool enabled = !membership_.is_disabled(name);
    std::clog << (enabled ? "enabled by operator: " : "disabled by operator: ") << name << '\n';
    if (const Endpoint* endpoint = membership_.find(name)) {
      on_server_listed(*endpoint, membership_.is_usable(*endpoint));
    }
    decision_loop_.enqueue_event(ServerAdminStateChanged{name, enabled});
  }
}

// ---------------------------------------------------------------- requests

void Dispatcher::accept(Request event, std::shared_ptr<const OutgoingRequest> message,
                        AnswerCallback callback) {
  // The settings limit the open requests. The decision library does not see a request beyond the limit.
  if (in_flight_requests_.size() >= max_open_requests_) {
    return callback({FinalAnswer::Kind::kRejected, overflow_retry_after_, {}, nullptr});
  }
  event.body_in_progress = message->remaining_body != nullptr;
  InFlightRequest accepted(std::move(message), std::move(callback), event.request_class, event.time_left,
                           clock_.now());
  const auto entry = in_flight_requests_.try_emplace(event.id, std::move(accepted)).first;
  if (!event.body_in_progress) start_deadline(entry->first, entry->second, clock_.now());
  event.time_left = std::max(0.0, event.time_left - kMargin.of(event.time_left));
  decision_loop_.enqueue_event(std::move(event));
}

InFlightRequest* Dispatcher::find(const std::string& id) {
  const auto entry = in_flight_requests_.find(id);
  return entry == in_flight_requests_.end() ? nullptr : &entry->second;
}

InFlightRequest* Dispatcher::find_unanswered(const std::string& id) {
  InFlightRequest* const request = find(id);
  return request == nullptr || request->is_completed() ? nullptr : request;
}

void Dispatcher::start_deadline(const std::string& id, InFlightRequest& request, double last_byte_at) {
  set_deadline(id, request, std::min(last_byte_at + request.time_left(), answers_due_at_));
}

void Dispatcher::set_deadline(const std::string& id, InFlightRequest& request, double client_deadline) {
  const double fallback_at = kMargin.fallback_at(client_deadline, request.time_left());
  auto timer = std::make_unique<asio::steady_timer>(io_, clock_.to_time_point(fallback_at));
  timer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) on_fallback_timer(id);
  });
  request.set_deadline(client_deadline, std::move(timer));
  const Clock::Steady::time_point attempts_end = clock_.to_time_point(request.attempts_end_at());
  for (const InFlightRequest::Attempt& attempt : request.attempts()) {
    UpstreamClient::set_request_end(attempt.handle, attempts_end);
  }
}

// Requests that were received earlier, also those of request classes that are no longer in force, may have a
// later deadline and would still be open when the process is killed. A request whose body is still arriving
// gets its deadline from start_deadline().
void Dispatcher::answer_all_within(const ShutdownLimits& limits) {
  answers_due_at_ = clock_.now() + limits.arriving;
  const double received_due_at = clock_.now() + limits.received;
  for (auto& [id, request] : in_flight_requests_) {
    if (request.has_deadline_after(received_due_at)) set_deadline(id, request, received_due_at);
  }
  answers_due_timer_.expires_at(clock_.to_time_point(answers_due_at_));
  answers_due_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) reject_incomplete_requests();
  });
}

// The last byte of a body may arrive at any moment, and may have arrived already where a slow server keeps
// the node from reading it. No server has received such a request, so that rejecting it is harmless.
void Dispatcher::reject_incomplete_requests() {
  std::vector<std::string> ids;
  for (const auto& [id, request] : in_flight_requests_) {
    if (!request.is_completed() && !request.has_deadline()) ids.push_back(id);
  }
  for (const std::string& id : ids) reject_incomplete(id);
}

void Dispatcher::reject_incomplete(const std::string& id) {
  answer_and_cancel(id, {FinalAnswer::Kind::kRejected, overflow_retry_after_, {}, nullptr});
}

void Dispatcher::on_body_complete(const std::string& id, Clock::Steady::time_point last_byte_at) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  start_deadline(id, *request, clock_.to_seconds(last_byte_at));
  decision_loop_.enqueue_event(RequestBodyComplete{id});
}

void Dispatcher::on_client_disconnected(const std::string& id) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->abandon(clock_.now());
  cancel_request(id);
}

// Gives the final answer if the decision library has failed or keeps the request for too long, or if other
// timers fire late. The decision library cancels the attempts that it may cancel; other attempts end by their
// own timeout, which is earlier than this timer.
void Dispatcher::on_fallback_timer(const std::string& id) {
  answer_and_cancel(id, {FinalAnswer::Kind::kFailed, 0, {}, nullptr});
}

void Dispatcher::answer_and_cancel(const std::string& id, FinalAnswer&& answer) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->answer(std::move(answer), clock_.now());
  cancel_request(id);
}

// Ends the attempts of a completed request, as far as that is possible.
void Dispatcher::cancel_request(const std::string& id) {
  decision_loop_.enqueue_event(RequestCancelled{id});
  if (const InFlightRequest* cancelled = find(id)) withdraw_undelivered_attempts(*cancelled);
  erase_if_settled(id);
}

// Cancels the attempts whose server has not received the whole request. Without this, a server would process
// a request that no client waits for, once the connection is established or the server reads the rest of the
// request. Settings that forbid cancelling attempts apply only to requests that a server has received.
void Dispatcher::withdraw_undelivered_attempts(const InFlightRequest& request) {
  for (const InFlightRequest::Attempt& attempt : request.attempts()) {
    upstream_.cancel_undelivered(attempt.handle);
  }
}

void Dispatcher::answer_and_settle(const std::string& id, FinalAnswer&& answer) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->answer(std::move(answer), clock_.now());
  erase_if_settled(id);
}

// A request stays in the table until it has its final answer and no attempts in flight. One that has not run
// may come again.
void Dispatcher::erase_if_settled(const std::string& id) {
  const auto entry = in_flight_requests_.find(id);
  if (entry == in_flight_requests_.end() || !entry->second.is_settled()) return;
  const InFlightRequest& request = entry->second;
  if (!request.is_idempotent() && !request.may_have_run()) sent_requests_.remove(id);
  request_log_.write(id, entry->second.history(), clock_.now());
  in_flight_requests_.erase(entry);
}

// ---------------------------------------------------------------- attempts

AttemptCallbacks Dispatcher::callbacks_of(const std::string& id, std::size_t attempt) {
  return {[this, id, attempt](HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed) {
            on_response_started(id, attempt, std::move(head), std::move(body), elapsed);
          },
          [this, id, attempt](const AttemptEnd& end, HttpResponse&& response) {
            on_attempt_ended(id, attempt, end, std::move(response));
          },
          [this, id] { return may_retry_incomplete_response(id); }};
}

bool Dispatcher::may_retry_incomplete_response(const std::string& id) {
  const InFlightRequest* const request = find_unanswered(id);
  return request != nullptr && !request->is_body_consumed() &&
         decision_loop_.may_retry_incomplete_response(id);
}

// A large response becomes the final answer as soon as its first bytes arrive.
void Dispatcher::on_response_started(const std::string& id, std::size_t attempt, HttpResponse&& head,
                                     std::shared_ptr<BodyPipe> body, double elapsed) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return body->close_reader();
  request->answer({FinalAnswer::Kind::kServed, 0, std::move(head), std::move(body)}, clock_.now());
  decision_loop_.enqueue_event(ResponseStarted{id, static_cast<int>(attempt), elapsed});
}

void Dispatcher::on_attempt_ended(const std::string& id, std::size_t attempt, const AttemptEnd& end,
                                  HttpResponse&& response) {
  InFlightRequest* const request = find(id);
  if (request == nullptr) return;
  request->close_attempt(attempt);
  if (end.outcome == Outcome::kSucceeded && !request->is_completed()) {
    request->answer({FinalAnswer::Kind::kServed, 0, std::move(response), nullptr}, clock_.now());
  }
  AttemptResult event;
  event.id = id;
  event.attempt = static_cast<int>(attempt);
  event.outcome = end.outcome;
  event.elapsed = end.elapsed;
  event.response_incomplete = end.reason == EndReason::kResponseIncomplete;
  event.body_consumed = request->is_body_consumed();
  event.request_completed = request->is_completed();
  request->record_attempt(attempt, end);
  decision_loop_.enqueue_event(std::move(event));
  erase_if_settled(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::execute(const StartAttempt& action) {
  InFlightRequest* const request = find(action.id);
  if (request == nullptr) return;
  // An attempt without a limit, or with a limit beyond the request's time, ends with the request.
  const double time_left = request->time_for_attempt(clock_.now());
  const auto bounded = [time_left](double limit) {
    return limit == 0 ? time_left : std::min(limit, time_left);
  };
  const double request_time = request->attempts_end_at() - clock_.now();
  // With a timeout of 0, an attempt started after the final answer is never sent.
  const double timeout = request->is_completed() ? 0 : bounded(action.timeout);
  if (!request->is_idempotent()) sent_requests_.add(action.id, Clock::Steady::now());
  const std::size_t attempt = request->add_attempt(action.server);
  request->set_attempt_handle(
      attempt, upstream_.start_attempt(action.server, request->message(),
                                       {timeout, request_time, bounded(action.deadline), action.send_within},
                                       callbacks_of(action.id, attempt)));
}

void Dispatcher::execute(const Reject& action) {
  answer_and_settle(action.id, {FinalAnswer::Kind::kRejected, action.retry_after, {}, nullptr});
}

void Dispatcher::execute(const Fail& action) {
  answer_and_settle(action.id, {FinalAnswer::Kind::kFailed, 0, {}, nullptr});
}

void Dispatcher::execute(const CancelAttempt& action) {
  const InFlightRequest* const request = find(action.id);
  if (request == nullptr || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < request->attempts().size()) upstream_.cancel(request->attempts()[attempt].handle);
}

void Dispatcher::execute(const SetTimer& action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, clock_.to_time_point(action.due_at));
  timer->async_wait([this, timer, token = action.token](error_code cancelled) {
    if (!cancelled) decision_loop_.enqueue_event(TimerFired{token});
  });
}

void Dispatcher::execute(const WatchMembership&) { start_watch_(); }

void Dispatcher::execute(const LogLine& action) { std::clog << action.text << '\n'; }

// The fallback timer of each request still gives its final answer in time. Only the first error is logged:
// the next events may fail in the same way.
void Dispatcher::on_decision_failed(const std::exception& error) {
  if (!std::exchange(has_logged_decision_failure_, true)) {
    std::clog << "decision library: " << error.what() << '\n';
  }
}

void Dispatcher::on_execution_failed(const std::exception& error) {
  if (!std::exchange(has_logged_execution_failure_, true)) {
    std::clog << "dispatcher: " << error.what() << '\n';
  }
}

// If the decision library fails for a new request and no attempt was started, the request fails at once.
void Dispatcher::after_failed_decision(const Event& event) {
  const auto* accepted = std::get_if<Request>(&event);
  if (accepted == nullptr) return;
  const InFlightRequest* const request = find(accepted->id);
  if (request != nullptr && !request->has_open_attempts()) execute(Fail{accepted->id});
}

}  // namespace nettleyoke::node
