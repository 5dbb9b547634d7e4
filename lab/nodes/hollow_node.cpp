#include "nodes/hollow_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fstream>
#include <utility>

#include "dispatch/deadline_margin.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using node::Clock;

// The deadline margin of a real node without its lower bound: there is no network between a hollow node and
// its clients.
constexpr node::DeadlineMargin kMargin{0};

Outcome outcome_of(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return Outcome::kSucceeded;
    case AttemptOutcome::kServerError:
      return Outcome::kServerError;
    case AttemptOutcome::kRejected:
      return Outcome::kRejected;
    case AttemptOutcome::kReset:
      return Outcome::kReset;
    default:
      return Outcome::kUnknown;
  }
}

node::RequestResult result_of(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kServed:
      return node::RequestResult::kServed;
    case CallOutcome::kRejected:
      return node::RequestResult::kRejected;
    default:
      return node::RequestResult::kFailed;
  }
}

}  // namespace

bool HollowNode::InFlightCall::has_open_attempts() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_open; });
}

HollowNode::HollowNode(asio::io_context& io, const Clock& clock, Options options, FindServer find_server,
                       std::function<void(std::uint64_t)> on_list_applied)
    : io_(io),
      clock_(clock),
      options_(std::move(options)),
      find_server_(std::move(find_server)),
      on_list_applied_(std::move(on_list_applied)) {}

HollowNode::~HollowNode() { *alive_ = false; }

void HollowNode::run_later(double seconds, std::function<void()> callback) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::to_duration(seconds));
  timer->async_wait([timer, alive = alive_, callback = std::move(callback)](error_code cancelled) {
    if (!cancelled && *alive) callback();
  });
}

// ---------------------------------------------------------------- start and shutdown

void HollowNode::start(const std::string& config, std::function<void()> on_ready) {
  const std::string file = options_.folder + "/" + options_.name + ".json";
  std::ofstream(file) << config;
  config_ = node::read_config(file, clock_);
  on_ready_ = std::move(on_ready);
  rewatch_pauses_.emplace(config_.seed);
  node::ActionExecutor& executor = *this;
  decisions_ = std::make_unique<node::DecisionLoop>(clock_, config_.settings, config_.seed, executor);
  metrics_.add_classes(config_.class_names);
  start_discovery();
  start_admin_server();
  if (!config_.initial_endpoint_list.endpoints.empty()) apply_endpoint_list(config_.initial_endpoint_list);
  decisions_->enqueue_event(Started{});
  if (!config_.settings.must_watch) discovery_->watch();
  run_later(0, [this] { std::exchange(on_ready_, nullptr)(); });
}

void HollowNode::start_discovery() {
  discovery_ = std::make_unique<node::DiscoveryClient>(io_, config_.discovery, config_.zone_directory, clock_,
                                                       config_.seed, discovery_listener());
  discovery_->set_responds_immediately(!config_.settings.must_watch);
  discovery_->set_list_version(config_.initial_endpoint_list.version);
}

node::DiscoveryClient::Listener HollowNode::discovery_listener() {
  return {[this](const node::EndpointList& update) {
            has_list_ = true;
            apply_endpoint_list(update);
          },
          [this] { on_watch_alive(); }, [this] { on_watch_failed(); }};
}

void HollowNode::start_admin_server() {
  disabled_servers_ = std::make_unique<node::DisabledServers>(
      io_, "", [this](const std::set<std::string>& servers) { set_disabled_servers(servers); });
  admin_server_ = std::make_unique<node::AdminServer>(
      io_, node::AdminServer::Handlers{
               [this] { return has_list_; },
               [this] {
                 return metrics_.to_json({membership_.listed_servers(), decisions_->unavailable_servers()});
               },
               [this](const std::string& server, bool enable) { return set_enabled(server, enable); }});
  if (config_.admin_address) admin_server_->listen(*config_.admin_address);
}

std::string HollowNode::set_enabled(const std::string& server, bool enable) {
  if (!membership_.is_listed(server) && !disabled_servers_->servers().contains(server)) {
    return "unknown server";
  }
  disabled_servers_->set_disabled(server, !enable);
  return "";
}

std::optional<asio::ip::tcp::endpoint> HollowNode::admin_endpoint() const {
  return config_.admin_address && admin_server_ ? std::optional(admin_server_->local_endpoint())
                                                : std::nullopt;
}

void HollowNode::shut_down() {
  discovery_.reset();
  admin_server_.reset();
  is_shut_down_ = true;
}

// ---------------------------------------------------------------- membership

void HollowNode::apply_endpoint_list(const node::EndpointList& update) {
  MembershipUpdate event = membership_.apply(update, *this);
  const bool is_new = std::exchange(list_version_, update.version) != update.version;
  decisions_->enqueue_event(std::move(event));
  if (on_list_applied_ && is_new) on_list_applied_(list_version_);
}

void HollowNode::on_watch_alive() {
  rewatch_pauses_->reset();
  if (membership_.listed_servers() == 0) return;
  decisions_->enqueue_event(MembershipUpdate{MembershipUpdate::Form::kChanges, {}});
}

void HollowNode::on_watch_failed() {
  decisions_->enqueue_event(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  if (config_.settings.must_watch) return;
  run_later(rewatch_pauses_->next(), [this] {
    if (discovery_) discovery_->watch();
  });
}

void HollowNode::set_disabled_servers(const std::set<std::string>& servers) {
  for (const std::string& name : membership_.set_disabled(servers)) {
    decisions_->enqueue_event(ServerAdminStateChanged{name, !membership_.is_disabled(name)});
  }
}

// ---------------------------------------------------------------- calls

void HollowNode::call(const Call& call, std::function<void(CallOutcome)> on_ended) {
  metrics_.request_started();
  InFlightCall& accepted = in_flight_calls_[call.id];
  accepted.request_class = call.request_class;
  accepted.class_number = call.class_number;
  accepted.on_ended = std::move(on_ended);
  accepted.time_left = call.timeout;
  if (in_flight_calls_.size() > config_.max_open_requests)
    return complete_and_erase(call.id, CallOutcome::kRejected);
  const double deadline = clock_.now() + call.timeout;
  accepted.attempts_end_at = kMargin.attempts_end(deadline, call.timeout);
  accepted.fallback_timer =
      end_call_at(kMargin.fallback_at(deadline, call.timeout), call.id, CallOutcome::kFailed);
  if (call.disconnect_after > 0) {
    accepted.disconnect_timer =
        end_call_at(clock_.now() + call.disconnect_after, call.id, CallOutcome::kClientDisconnected);
  }
  Request event;
  event.id = call.id;
  event.tenant = call.tenant_number;
  event.request_class = call.class_number;
  event.time_left = call.timeout - kMargin.of(call.timeout);
  event.is_client_retry = call.is_retry;
  decisions_->enqueue_event(std::move(event));
}

HollowNode::InFlightCall* HollowNode::find(const std::string& id) {
  const auto entry = in_flight_calls_.find(id);
  return entry == in_flight_calls_.end() ? nullptr : &entry->second;
}

HollowNode::InFlightCall* HollowNode::find_pending(const std::string& id) {
  InFlightCall* const call = find(id);
  return call == nullptr || call->is_completed() ? nullptr : call;
}

HollowNode::Attempt* HollowNode::find_open_attempt(const std::string& id, std::size_t number) {
  InFlightCall* const call = find(id);
  if (call == nullptr || number >= call->attempts.size()) return nullptr;
  Attempt& attempt = call->attempts[number];
  return attempt.is_open ? &attempt : nullptr;
}

std::unique_ptr<asio::steady_timer> HollowNode::end_call_at(double due_at, const std::string& id,
                                                            CallOutcome outcome) {
  auto timer = std::make_unique<asio::steady_timer>(io_, clock_.to_time_point(due_at));
  timer->async_wait([this, alive = alive_, id, outcome](error_code cancelled) {
    if (!cancelled && *alive) cancel_call(id, outcome);
  });
  return timer;
}

// Ends a call whose client disconnected or whose deadline passed.
void HollowNode::cancel_call(const std::string& id, CallOutcome outcome) {
  InFlightCall* const call = find_pending(id);
  if (call == nullptr) return;
  complete(*call, outcome);
  decisions_->enqueue_event(RequestCancelled{id});
  erase_if_finished(id);
}

void HollowNode::complete(InFlightCall& call, CallOutcome outcome) {
  call.fallback_timer.reset();
  call.disconnect_timer.reset();
  metrics_.request_ended(call.request_class, result_of(outcome));
  asio::post(io_, [on_ended = std::exchange(call.on_ended, nullptr), outcome] { on_ended(outcome); });
}

void HollowNode::complete_and_erase(const std::string& id, CallOutcome outcome) {
  InFlightCall* const call = find_pending(id);
  if (call == nullptr) return;
  complete(*call, outcome);
  erase_if_finished(id);
}

void HollowNode::erase_if_finished(const std::string& id) {
  const auto entry = in_flight_calls_.find(id);
  if (entry == in_flight_calls_.end()) return;
  const InFlightCall& call = entry->second;
  if (call.is_completed() && !call.has_open_attempts()) in_flight_calls_.erase(entry);
}

// ---------------------------------------------------------------- attempts

void HollowNode::execute(const StartAttempt& action) {
  InFlightCall* const call = find(action.id);
  if (call == nullptr) return;
  const std::size_t number = call->attempts.size();
  Attempt& attempt = call->attempts.emplace_back();
  attempt.started_at = clock_.now();
  const double time_left =
      std::min(call->attempts_end_at - attempt.started_at, call->time_left - kMargin.of(call->time_left));
  const double timeout = action.timeout == 0 ? time_left : std::min(action.timeout, time_left);
  if (call->is_completed() || timeout <= 0) return end_attempt_later(action.id, number, Outcome::kNotSent);
  attempt.server = find_server_(action.server);
  if (attempt.server == nullptr || !attempt.server->is_up()) {
    return end_attempt_later(action.id, number, Outcome::kConnectFailed);
  }
  run_attempt(action.id, number, attempt, call->class_number, timeout);
}

void HollowNode::run_attempt(const std::string& id, std::size_t number, Attempt& attempt,
                             std::size_t class_number, double timeout) {
  metrics_.attempt_sent();
  attempt.direct_id = attempt.server->start_direct(
      id, options_.number, class_number, timeout, [this, alive = alive_, id, number](AttemptOutcome outcome) {
        if (*alive) on_attempt_ended(id, number, outcome_of(outcome));
      });
  attempt.timeout_timer = std::make_unique<asio::steady_timer>(io_, Clock::to_duration(timeout));
  attempt.timeout_timer->async_wait([this, alive = alive_, id, number](error_code cancelled) {
    if (!cancelled && *alive) on_attempt_timeout(id, number);
  });
}

void HollowNode::on_attempt_timeout(const std::string& id, std::size_t number) {
  Attempt* const attempt = find_open_attempt(id, number);
  if (attempt == nullptr) return;
  attempt->server->cancel_direct(attempt->direct_id);
  on_attempt_ended(id, number, Outcome::kTimedOut);
}

void HollowNode::on_attempt_ended(const std::string& id, std::size_t number, Outcome outcome) {
  Attempt* const attempt = find_open_attempt(id, number);
  if (attempt == nullptr) return;
  attempt->is_open = false;
  attempt->timeout_timer.reset();
  InFlightCall& call = *find(id);
  if (outcome == Outcome::kSucceeded && !call.is_completed()) complete(call, CallOutcome::kServed);
  AttemptResult event;
  event.id = id;
  event.attempt = static_cast<int>(number);
  event.outcome = outcome;
  event.elapsed = clock_.now() - attempt->started_at;
  event.request_completed = call.is_completed();
  decisions_->enqueue_event(std::move(event));
  erase_if_finished(id);
}

// Reports the end of an attempt from the event loop, never from within its start.
void HollowNode::end_attempt_later(const std::string& id, std::size_t number, Outcome outcome) {
  run_later(0, [this, id, number, outcome] { on_attempt_ended(id, number, outcome); });
}

void HollowNode::execute(const CancelAttempt& action) {
  const auto number = static_cast<std::size_t>(action.attempt);
  Attempt* const attempt = find_open_attempt(action.id, number);
  if (attempt == nullptr) return;
  attempt->timeout_timer.reset();
  if (attempt->server != nullptr) attempt->server->cancel_direct(attempt->direct_id);
  end_attempt_later(action.id, number, Outcome::kCancelled);
}

// ---------------------------------------------------------------- other actions

void HollowNode::execute(const Reject& action) { complete_and_erase(action.id, CallOutcome::kRejected); }

void HollowNode::execute(const Fail& action) { complete_and_erase(action.id, CallOutcome::kFailed); }

void HollowNode::execute(const SetTimer& action) {
  run_later(std::max(0.0, action.due_at - clock_.now()),
            [this, token = action.token] { decisions_->enqueue_event(TimerFired{token}); });
}

void HollowNode::execute(const WatchMembership&) {
  if (discovery_) discovery_->watch();
}

}  // namespace nettleyoke::lab
