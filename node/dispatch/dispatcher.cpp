#include "dispatch/dispatcher.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr DeadlineMargin kMargin{};

// What a request that is rejected unseen is advised to wait, as a fraction of the longest advice.
constexpr double kOverflowRetryFraction = 0.5;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
                       std::size_t max_open_requests, UpstreamClient& upstream, std::function<void()> watch)
    : io_(io),
      clock_(clock),
      decisions_(clock, settings, seed, *this),
      must_watch_(settings.must_watch),
      rewatch_pauses_(seed),
      max_open_requests_(max_open_requests),
      overflow_retry_after_(settings.max_retry_after * kOverflowRetryFraction),
      upstream_(upstream),
      watch_(std::move(watch)),
      rewatch_timer_(io),
      request_log_(std::clog) {}

void Dispatcher::start(const EndpointList& known) {
  if (!known.endpoints.empty()) apply_endpoint_list(known);
  decisions_.enqueue_event(Started{});
  if (!must_watch_) watch_();
}

void Dispatcher::replace_settings(const Settings& settings, std::size_t max_open_requests) {
  const bool had_to_watch = std::exchange(must_watch_, settings.must_watch);
  max_open_requests_ = max_open_requests;
  overflow_retry_after_ = settings.max_retry_after * kOverflowRetryFraction;
  rewatch_pauses_.reset();
  decisions_.enqueue_event(SettingsReplaced{settings});
  if (had_to_watch && !must_watch_) watch_();
}

// ---------------------------------------------------------------- membership

void Dispatcher::on_endpoint_list(const EndpointList& update) {
  has_list_ = true;
  apply_endpoint_list(update);
}

void Dispatcher::apply_endpoint_list(const EndpointList& update) {
  decisions_.enqueue_event(membership_.apply(update, *this));
}

void Dispatcher::on_server_listed(const Endpoint& endpoint, bool usable) {
  upstream_.update_server(endpoint.server.address, endpoint.endpoint, endpoint.server.started, usable);
}

void Dispatcher::on_server_removed(const std::string& name) { upstream_.remove_server(name); }

// Watches that bring empty lines alone, while nothing changes, and then break are no failures. Counted as
// such they would have the next ones wait ever longer, up to past the time when a change counts as notified.
void Dispatcher::on_watch_alive() {
  rewatch_pauses_.reset();
  if (membership_.listed_servers() == 0) return;
  decisions_.enqueue_event(MembershipUpdate{MembershipUpdate::Form::kChanges, {}});
}

void Dispatcher::on_watch_failed() {
  decisions_.enqueue_event(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  if (must_watch_) return;
  // Where lists are pushed the decision library asks for none: it is for the node to stay connected.
  rewatch_timer_.expires_after(Clock::to_duration(rewatch_pauses_.next()));
  rewatch_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) watch_();
  });
}

void Dispatcher::set_disabled_servers(const std::set<std::string>& servers) {
  for (const std::string& name : membership_.set_disabled(servers)) {
    const bool enabled = !membership_.is_disabled(name);
    std::clog << (enabled ? "enabled by operator: " : "disabled by operator: ") << name << '\n';
    if (const Endpoint* endpoint = membership_.find(name)) {
      on_server_listed(*endpoint, membership_.is_usable(*endpoint));
    }
    decisions_.enqueue_event(ServerAdminStateChanged{name, enabled});
  }
}

// ---------------------------------------------------------------- requests

void Dispatcher::accept(Request event, std::shared_ptr<const OutgoingRequest> message,
                        AnswerCallback callback) {
  // Rejected before the decision library hears of it, as the settings have it.
  if (in_flight_requests_.size() >= max_open_requests_) {
    return callback({FinalAnswer::Kind::kRejected, overflow_retry_after_, {}, nullptr});
  }
  event.body_in_progress = message->remaining_body != nullptr;
  InFlightRequest accepted(std::move(message), std::move(callback), event.request_class, event.time_left,
                           clock_.now());
  const auto entry = in_flight_requests_.try_emplace(event.id, std::move(accepted)).first;
  if (!event.body_in_progress) start_clock(entry->first, entry->second);
  event.time_left = std::max(0.0, event.time_left - kMargin.of(event.time_left));
  decisions_.enqueue_event(std::move(event));
}

InFlightRequest* Dispatcher::find(const std::string& id) {
  const auto entry = in_flight_requests_.find(id);
  return entry == in_flight_requests_.end() ? nullptr : &entry->second;
}

InFlightRequest* Dispatcher::find_unanswered(const std::string& id) {
  InFlightRequest* const request = find(id);
  return request == nullptr || request->is_completed() ? nullptr : request;
}

void Dispatcher::start_clock(const std::string& id, InFlightRequest& request) {
  set_end(id, request, std::min(clock_.now() + request.time_left(), last_answer_at_));
}

void Dispatcher::set_end(const std::string& id, InFlightRequest& request, double end) {
  const double fallback_at = kMargin.fallback_at(end, request.time_left());
  auto timer = std::make_unique<asio::steady_timer>(io_, clock_.to_time_point(fallback_at));
  timer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) on_overdue(id);
  });
  request.set_end(end, std::move(timer));
}

// What was accepted before may have been given longer than there is, also by classes that are not in force
// any more, and would be open still when the process is killed. Bodies that are still arriving find the bound
// when their clock starts.
void Dispatcher::bound_answers(double seconds) {
  last_answer_at_ = clock_.now() + seconds;
  for (auto& [id, request] : in_flight_requests_) {
    if (request.is_due_after(last_answer_at_)) set_end(id, request, last_answer_at_);
  }
}

void Dispatcher::on_body_complete(const std::string& id) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  start_clock(id, *request);
  decisions_.enqueue_event(RequestBodyComplete{id});
}

void Dispatcher::on_client_disconnected(const std::string& id) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->abandon(clock_.now());
  decisions_.enqueue_event(RequestCancelled{id});
  if (const InFlightRequest* cancelled = find(id)) withdraw_unsent_attempts(*cancelled);
  erase_if_settled(id);
}

// The decision library may fail, or hold on to a request for too long, and its timers may come late. It
// cancels what it may; what is in flight besides ends by its own timeout, which lies before this one.
void Dispatcher::on_overdue(const std::string& id) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->answer({FinalAnswer::Kind::kFailed, 0, {}, nullptr}, clock_.now());
  decisions_.enqueue_event(RequestCancelled{id});
  if (const InFlightRequest* cancelled = find(id)) withdraw_unsent_attempts(*cancelled);
  erase_if_settled(id);
}

// Without this a server would get to work, once a connection is up or it reads on, for nobody. Whether the
// settings let attempts be cancelled says nothing about those that are not sent yet.
void Dispatcher::withdraw_unsent_attempts(const InFlightRequest& request) {
  for (const InFlightRequest::Attempt& attempt : request.attempts()) {
    upstream_.cancel_unsent(attempt.handle);
  }
}

void Dispatcher::answer_and_settle(const std::string& id, FinalAnswer&& answer) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return;
  request->answer(std::move(answer), clock_.now());
  erase_if_settled(id);
}

// A request stays in the table as long as it is owed an answer or has attempts in flight.
void Dispatcher::erase_if_settled(const std::string& id) {
  const auto entry = in_flight_requests_.find(id);
  if (entry == in_flight_requests_.end() || !entry->second.is_settled()) return;
  request_log_.write(id, entry->second.history(), clock_.now());
  in_flight_requests_.erase(entry);
}

// ---------------------------------------------------------------- attempts

AttemptCallbacks Dispatcher::callbacks_of(const std::string& id, std::size_t attempt) {
  return {[this, id, attempt](HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed) {
            on_response_started(id, attempt, std::move(head), std::move(body), elapsed);
          },
          [this, id, attempt](Outcome outcome, HttpResponse&& response, double elapsed) {
            on_attempt_ended(id, attempt, outcome, std::move(response), elapsed);
          }};
}

// A large answer is the client's from its first bytes on.
void Dispatcher::on_response_started(const std::string& id, std::size_t attempt, HttpResponse&& head,
                                     std::shared_ptr<BodyPipe> body, double elapsed) {
  InFlightRequest* const request = find_unanswered(id);
  if (request == nullptr) return body->close_reader();
  request->answer({FinalAnswer::Kind::kServed, 0, std::move(head), std::move(body)}, clock_.now());
  decisions_.enqueue_event(ResponseStarted{id, static_cast<int>(attempt), elapsed});
}

void Dispatcher::on_attempt_ended(const std::string& id, std::size_t attempt, Outcome outcome,
                                  HttpResponse&& response, double elapsed) {
  InFlightRequest* const request = find(id);
  if (request == nullptr) return;
  request->close_attempt(attempt);
  if (outcome == Outcome::kSucceeded && !request->is_completed()) {
    request->answer({FinalAnswer::Kind::kServed, 0, std::move(response), nullptr}, clock_.now());
  }
  AttemptResult event;
  event.id = id;
  event.attempt = static_cast<int>(attempt);
  event.outcome = outcome;
  event.elapsed = elapsed;
  event.body_consumed = request->is_body_consumed();
  event.request_completed = request->is_completed();
  request->record_attempt(attempt, outcome, elapsed);
  decisions_.enqueue_event(std::move(event));
  erase_if_settled(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::execute(const StartAttempt& action) {
  InFlightRequest* const request = find(action.id);
  if (request == nullptr) return;
  // Without a limit of its own, or with a longer one, an attempt ends with its request.
  const double time_left = request->time_for_attempt(clock_.now());
  const auto bounded = [time_left](double limit) {
    return limit == 0 ? time_left : std::min(limit, time_left);
  };
  // An attempt after the final answer is never sent.
  const double timeout = request->is_completed() ? 0 : bounded(action.timeout);
  const std::size_t attempt = request->add_attempt(action.server);
  request->set_attempt_handle(attempt,
                              upstream_.start_attempt(action.server, request->message(),
                                                      {timeout, bounded(action.deadline), action.send_within},
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
    if (!cancelled) decisions_.enqueue_event(TimerFired{token});
  });
}

void Dispatcher::execute(const WatchMembership&) { watch_(); }

void Dispatcher::execute(const LogLine& action) { std::clog << action.text << '\n'; }

// The fallback timer of each request still answers it in time. Once a log line: the next event may fail the
// same way.
void Dispatcher::on_decision_failed(const std::exception& problem) {
  if (!std::exchange(has_logged_decision_failure_, true)) {
    std::clog << "decision library: " << problem.what() << '\n';
  }
}

void Dispatcher::on_execution_failed(const std::exception& problem) {
  if (!std::exchange(has_logged_execution_failure_, true)) {
    std::clog << "dispatcher: " << problem.what() << '\n';
  }
}

// A request over which the decision library failed before anything was sent is answered at once.
void Dispatcher::after_failed_decision(const Event& event) {
  const auto* accepted = std::get_if<Request>(&event);
  if (accepted == nullptr) return;
  const InFlightRequest* const request = find(accepted->id);
  if (request != nullptr && !request->has_open_attempts()) execute(Fail{accepted->id});
}

}  // namespace nettleyoke::node
