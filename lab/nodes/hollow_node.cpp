#include "nodes/hollow_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fstream>
#include <iterator>
#include <utility>
#include <variant>

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using node::Clock;

// As the node has them: attempts end this long before the client gives up, but no more than this part of what
// it gives, and by half of that the request is failed, whatever the module does.
constexpr double kMargin = 0.040, kMarginPart = 0.02, kGuardPart = 0.5;

double margin_of(double time_left) { return std::min(kMargin, kMarginPart * time_left); }

Outcome outcome_of(AttemptOutcome how) {
  switch (how) {
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

}  // namespace

HollowNode::HollowNode(asio::io_context& io, const Clock& clock, Place place, Servers servers,
                       std::function<void(std::uint64_t)> in_force)
    : io_(io),
      clock_(clock),
      place_(std::move(place)),
      servers_(std::move(servers)),
      in_force_(std::move(in_force)) {}

HollowNode::~HollowNode() { *alive_ = false; }

void HollowNode::later(double seconds, std::function<void()> what) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(seconds));
  timer->async_wait([timer, alive = alive_, what = std::move(what)](error_code cancelled) {
    if (!cancelled && *alive) what();
  });
}

void HollowNode::start(const std::string& config, std::function<void()> ready) {
  const std::string file = place_.folder + "/" + place_.name + ".json";
  std::ofstream(file) << config;
  config_ = node::read_config(file, clock_);
  ready_call_ = std::move(ready);
  jitter_.seed(static_cast<std::minstd_rand::result_type>(config_.seed));
  balancer_ = std::make_unique<Balancer>(config_.settings, config_.seed);
  metrics_.add_classes(config_.class_names);
  discovery_ = std::make_unique<node::DiscoveryClient>(
      io_, config_.discovery, config_.directory, clock_, config_.seed,
      node::DiscoveryClient::Listener{[this](const node::EndpointList& update) {
                                        has_list_ = true;
                                        members(update);
                                      },
                                      [this] {
                                        failures_ = 0;
                                        if (!listed_.empty()) {
                                          happen(MembershipUpdate{MembershipUpdate::Form::kChanges, {}});
                                        }
                                      },
                                      [this] { watch_failed(); }});
  discovery_->set_responds_immediately(!config_.settings.must_watch);
  discovery_->set_list_version(config_.known.version);
  bans_ = std::make_unique<node::DisabledServers>(
      io_, "", [this](const std::set<std::string>& out) { take_out(out); });
  ops_ = std::make_unique<node::AdminServer>(
      io_, node::AdminServer::Handlers{
               [this] { return has_list_; },
               [this] {
                 return metrics_.to_json({listed_.size(), balancer_->unavailable_servers(clock_.now())});
               },
               [this](const std::string& id, bool enable) -> std::string {
                 if (!listed_.contains(id) && !bans_->servers().contains(id)) return "unknown server";
                 bans_->set_disabled(id, !enable);
                 return "";
               }});
  if (config_.ops) ops_->listen(*config_.ops);
  if (!config_.known.endpoints.empty()) members(config_.known);
  happen(Started{});
  if (!config_.settings.must_watch) discovery_->watch();
  later(0, [this] { std::exchange(ready_call_, nullptr)(); });
}

std::optional<asio::ip::tcp::endpoint> HollowNode::admin_endpoint() const {
  return config_.ops && ops_ ? std::optional(ops_->local()) : std::nullopt;
}

void HollowNode::shut_down() {
  discovery_.reset();
  ops_.reset();
  ended_ = true;
}

// ---------------------------------------------------------------- membership

bool HollowNode::is_usable(const Server& server) const {
  return server.state == ServerState::kReady && !out_.contains(server.address);
}

void HollowNode::members(const node::EndpointList& update) {
  MembershipUpdate event;
  event.form = update.is_full ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
  std::set<std::string> named;
  for (const node::Endpoint& member : update.endpoints) {
    const std::string& name = member.server.address;
    if (member.server.state == ServerState::kRemoved) {
      listed_.erase(name);
    } else {
      listed_[name] = member.server;
    }
    named.insert(name);
    event.servers.push_back(member.server);
  }
  if (update.is_full)
    std::erase_if(listed_, [&named](const auto& entry) { return !named.contains(entry.first); });
  const bool is_new = std::exchange(index_, update.version) != update.version;
  happen(std::move(event));
  if (in_force_ && is_new) in_force_(index_);
}

void HollowNode::watch_failed() {
  happen(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  if (config_.settings.must_watch) return;
  later(node::rewatch_backoff(failures_++, std::uniform_real_distribution<>()(jitter_)), [this] {
    if (discovery_) discovery_->watch();
  });
}

void HollowNode::take_out(const std::set<std::string>& servers) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(out_.begin(), out_.end(), servers.begin(), servers.end(),
                                std::back_inserter(changed));
  out_ = servers;
  for (const std::string& name : changed) happen(ServerAdminStateChanged{name, !out_.contains(name)});
}

// ---------------------------------------------------------------- calls

void HollowNode::call(const Call& call, std::function<void(CallOutcome)> ended) {
  metrics_.request_started();
  Held& held = held_[call.id];
  held.request_class = call.request_class;
  held.class_number = call.class_number;
  held.ended = std::move(ended);
  held.time_left = call.timeout;
  if (held_.size() > config_.max_open) {
    answer(held, CallOutcome::kRejected);
    return settle(call.id);
  }
  const double margin = margin_of(call.timeout), end = clock_.now() + call.timeout;
  held.until = end - margin;
  const auto wait = [this, id = call.id](double at, CallOutcome ending) {
    auto timer = std::make_unique<asio::steady_timer>(io_, clock_.at(at));
    timer->async_wait([this, alive = alive_, id, ending](error_code cancelled) {
      if (!cancelled && *alive) gone(id, ending);
    });
    return timer;
  };
  held.guard = wait(end - kGuardPart * margin, CallOutcome::kFailed);
  if (call.disconnect_after > 0)
    held.leave = wait(clock_.now() + call.disconnect_after, CallOutcome::kClientDisconnected);
  Request event;
  event.id = call.id;
  event.tenant = call.tenant_number;
  event.request_class = call.class_number;
  event.time_left = call.timeout - margin;
  event.is_client_retry = call.is_retry;
  happen(std::move(event));
}

// Its client has left, or its time is up.
void HollowNode::gone(const std::string& id, CallOutcome ending) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.is_over()) return;
  answer(at->second, ending);
  happen(RequestCancelled{id});
  settle(id);
}

void HollowNode::answer(Held& held, CallOutcome ending) {
  held.guard.reset();
  held.leave.reset();
  metrics_.request_ended(held.request_class, ending == CallOutcome::kServed ? node::RequestResult::kServed
                                             : ending == CallOutcome::kRejected
                                                 ? node::RequestResult::kRejected
                                                 : node::RequestResult::kFailed);
  asio::post(io_, [ended = std::exchange(held.ended, nullptr), ending] { ended(ending); });
}

void HollowNode::attempt_ended(const std::string& id, std::size_t number, Outcome outcome) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.attempts[number].open) return;
  Held& held = at->second;
  Attempt& attempt = held.attempts[number];
  attempt.open = false;
  attempt.timer.reset();
  if (outcome == Outcome::kSucceeded && !held.is_over()) answer(held, CallOutcome::kServed);
  AttemptResult event;
  event.id = id;
  event.attempt = static_cast<int>(number);
  event.outcome = outcome;
  event.elapsed = clock_.now() - attempt.since;
  event.request_completed = held.is_over();
  happen(std::move(event));
  settle(id);
}

// An attempt's end is never told from within its start.
void HollowNode::end_later(const std::string& id, std::size_t attempt, Outcome outcome) {
  later(0, [this, id, attempt, outcome] { attempt_ended(id, attempt, outcome); });
}

void HollowNode::settle(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.is_over()) return;
  const std::vector<Attempt>& attempts = at->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.open; })) {
    held_.erase(at);
  }
}

// ---------------------------------------------------------------- events to actions

// The module is never called from within itself: what an action brings about at once waits its turn.
void HollowNode::happen(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    handle(next);
  }
  handling_ = false;
}

void HollowNode::handle(const Event& event) {
  std::vector<Action> actions;
  balancer_->handle(clock_.now(), event, actions);
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
}

void HollowNode::perform(const StartAttempt& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end()) return;
  Held& held = at->second;
  const std::size_t number = held.attempts.size();
  Attempt& attempt = held.attempts.emplace_back();
  attempt.since = clock_.now();
  const double left = std::min(held.until - attempt.since, held.time_left - margin_of(held.time_left));
  const double timeout = action.timeout == 0 ? left : std::min(action.timeout, left);
  if (held.is_over() || timeout <= 0) return end_later(action.id, number, Outcome::kNotSent);
  attempt.server = servers_(action.server);
  if (attempt.server == nullptr || !attempt.server->is_up()) {
    return end_later(action.id, number, Outcome::kConnectFailed);
  }
  metrics_.attempt_sent();
  attempt.number =
      attempt.server->start_direct(action.id, place_.number, held.class_number, timeout,
                                   [this, alive = alive_, id = action.id, number](AttemptOutcome how) {
                                     if (*alive) attempt_ended(id, number, outcome_of(how));
                                   });
  attempt.timer = std::make_unique<asio::steady_timer>(io_, Clock::span(timeout));
  attempt.timer->async_wait([this, alive = alive_, id = action.id, number](error_code cancelled) {
    if (cancelled || !*alive) return;
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.attempts[number].open) return;
    Attempt& late = found->second.attempts[number];
    late.server->cancel_direct(late.number);
    attempt_ended(id, number, Outcome::kTimedOut);
  });
}

void HollowNode::perform(const Reject& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.is_over()) return;
  answer(at->second, CallOutcome::kRejected);
  settle(action.id);
}

void HollowNode::perform(const Fail& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.is_over()) return;
  answer(at->second, CallOutcome::kFailed);
  settle(action.id);
}

void HollowNode::perform(const CancelAttempt& action) {
  const auto at = held_.find(action.id);
  const auto number = static_cast<std::size_t>(action.attempt);
  if (at == held_.end() || number >= at->second.attempts.size() || !at->second.attempts[number].open) return;
  Attempt& attempt = at->second.attempts[number];
  attempt.timer.reset();
  if (attempt.server != nullptr) attempt.server->cancel_direct(attempt.number);
  end_later(action.id, number, Outcome::kCancelled);
}

void HollowNode::perform(const SetTimer& action) {
  later(std::max(0.0, action.due_at - clock_.now()),
        [this, token = action.token] { happen(TimerFired{token}); });
}

void HollowNode::perform(const WatchMembership&) {
  if (discovery_) discovery_->watch();
}

void HollowNode::perform(const LogLine&) {}

}  // namespace nettleyoke::lab
