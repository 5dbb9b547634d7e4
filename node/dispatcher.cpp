#include "dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <exception>
#include <iostream>
#include <iterator>
#include <limits>
#include <utility>
#include <variant>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// s. Attempts end this long before the client gives up: for the way that the request has come, a loop that
// runs late on a shared core, and the way of the answer. Danger: an answer that comes too late is a lost
// request; one that this margin cuts off is a late one at best.
constexpr double kMargin = 0.040;
// And no more than this part of the time that the client gives. Danger: each tier takes its margin from what
// the one above has left, so that three fixed ones leave nothing to a request in a hurry.
constexpr double kMarginPart = 0.02;
// But no less: callers tell whole milliseconds, and a loop that others share takes a part of one to answer.
constexpr double kLeastMargin = 0.001;
// Of the margin. If by then, for whatever reason, there is no answer, the node fails the request itself.
constexpr double kGuardPart = 0.5;
constexpr int kMostPaths = 100;  // log lines a second about requests that went badly; a flood gets no more

double margin_of(double time_left) { return std::clamp(kMarginPart * time_left, kLeastMargin, kMargin); }

std::string milliseconds(double seconds) { return std::to_string(std::lround(seconds * 1000)) + " ms"; }

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSucceeded:
      return "answered";
    case Outcome::kServerError:
      return "error";
    case Outcome::kRejected:
      return "turned away";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kConnectFailed:
      return "could not connect";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
    case Outcome::kUnknown:
      return "unreadable answer";
  }
  return "unknown";
}

}  // namespace

bool Dispatcher::Held::any_open() const { return std::find(open.begin(), open.end(), true) != open.end(); }

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
                       std::size_t max_open, UpstreamClient& upstream, std::function<void()> watch)
    : io_(io),
      clock_(clock),
      balancer_(settings, seed),
      must_watch_(settings.must_watch),
      jitter_(static_cast<std::minstd_rand::result_type>(seed)),
      max_open_(max_open),
      busy_retry_after_(settings.max_retry_after / 2),
      upstream_(upstream),
      watch_(std::move(watch)),
      watch_again_(io) {}

void Dispatcher::start(const EndpointList& known) {
  if (!known.endpoints.empty()) members(known);
  happen(Started{});
  if (!must_watch_) watch_();
}

void Dispatcher::replace_settings(const Settings& settings, std::size_t max_open) {
  const bool watched = std::exchange(must_watch_, settings.must_watch);
  max_open_ = max_open;
  busy_retry_after_ = settings.max_retry_after / 2;
  failures_ = 0;
  happen(SettingsReplaced{settings});
  if (watched && !must_watch_) watch_();
}

void Dispatcher::accept(Request event, std::shared_ptr<const OutgoingRequest> message, AnswerTo answer_to) {
  // Turned away before the module hears of it, as the settings have it.
  if (held_.size() >= max_open_) {
    return answer_to({FinalAnswer::Kind::kRejected, busy_retry_after_, {}, nullptr});
  }
  const std::string id = event.id;
  const double now = clock_.now();
  Held& held = held_[id];
  held.message = std::move(message);
  held.answer_to = std::move(answer_to);
  held.since = now;
  held.path = ", class " + std::to_string(event.request_class) + ", given " + milliseconds(event.time_left);
  held.time_left = event.time_left;
  held.until = std::numeric_limits<double>::infinity();
  event.body_in_progress = held.message->rest != nullptr;
  if (!event.body_in_progress) run_clock(id, held);
  event.time_left = std::max(0.0, event.time_left - margin_of(event.time_left));
  happen(std::move(event));
}

void Dispatcher::run_clock(const std::string& id, Held& held) {
  end_by(id, held, std::min(clock_.now() + held.time_left, last_answer_));
}

void Dispatcher::end_by(const std::string& id, Held& held, double end) {
  const double margin = margin_of(held.time_left);
  held.until = end - margin;
  held.guard = std::make_unique<asio::steady_timer>(io_, clock_.at(end - kGuardPart * margin));
  held.guard->async_wait([this, id](error_code cancelled) {
    if (!cancelled) overdue(id);
  });
}

// Danger: what was taken before may have been given longer than there is, by classes that are not in force
// any more too, and would be open still when the process is killed. Bodies that are on their way find the
// bound when their clock begins.
void Dispatcher::bound_answers(double seconds) {
  last_answer_ = clock_.now() + seconds;
  for (auto& [id, held] : held_) {
    if (!held.over() && held.guard && held.until + margin_of(held.time_left) > last_answer_)
      end_by(id, held, last_answer_);
  }
}

void Dispatcher::on_body_complete(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return;
  run_clock(id, at->second);
  happen(RequestBodyComplete{id});
}

void Dispatcher::on_client_disconnected(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return;
  at->second.answer_to = nullptr;
  at->second.guard.reset();
  at->second.went_badly = true;
  at->second.path += ", its client left after " + milliseconds(clock_.now() - at->second.since);
  happen(RequestCancelled{id});
  withdraw(id);
  settle(id);
}

// Guards against a server that gets to work, once a connection is up or it reads on, for nobody. Whether the
// settings let attempts be cancelled says nothing about those that are not out yet.
void Dispatcher::withdraw(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end()) return;
  for (const AttemptHandle& attempt : at->second.attempts) upstream_.withdraw_unsent(attempt);
}

void Dispatcher::on_endpoint_list(const EndpointList& update) {
  has_list_ = true;
  members(update);
}

// Danger: watches that bring empty lines alone, while nothing changes, and then die are no failures. Taken
// for such they would have the next ones wait ever longer, up to past the time when a change counts as told.
void Dispatcher::on_watch_alive() {
  failures_ = 0;
  if (!listed_.empty()) happen(MembershipUpdate{MembershipUpdate::Form::kChanges, {}});
}

void Dispatcher::members(const EndpointList& update) {
  MembershipUpdate event;
  event.form = update.is_full ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
  std::set<std::string> named;
  for (const Endpoint& member : update.endpoints) {
    const std::string& name = member.server.address;
    if (member.server.state == ServerState::kRemoved) {
      upstream_.remove_server(name);
      listed_.erase(name);
    } else {
      listed_[name] = member;
      upstream_.update_server(name, member.endpoint, member.server.started, is_usable(member));
    }
    named.insert(name);
    event.servers.push_back(member.server);
  }
  // What a full list lacks is gone.
  for (auto at = listed_.begin(); at != listed_.end();) {
    if (update.is_full && !named.contains(at->first)) {
      upstream_.remove_server(at->first);
      at = listed_.erase(at);
    } else {
      ++at;
    }
  }
  count_ready();
  happen(std::move(event));
}

void Dispatcher::count_ready() {
  ready_ = static_cast<std::size_t>(std::count_if(
      listed_.begin(), listed_.end(), [this](const auto& entry) { return is_usable(entry.second); }));
}

void Dispatcher::set_disabled_servers(const std::set<std::string>& servers) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(out_.begin(), out_.end(), servers.begin(), servers.end(),
                                std::back_inserter(changed));
  out_ = servers;
  for (const std::string& name : changed) {
    const bool enabled = !out_.contains(name);
    std::clog << (enabled ? "enabled by hand: " : "disabled by hand: ") << name << '\n';
    const auto at = listed_.find(name);
    if (at != listed_.end()) {
      const Endpoint& member = at->second;
      upstream_.update_server(name, member.endpoint, member.server.started, is_usable(member));
    }
    happen(ServerAdminStateChanged{name, enabled});
  }
  count_ready();
}

void Dispatcher::on_watch_failed() {
  happen(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  if (must_watch_) return;
  // Where lists are pushed the module asks for none: it is for the node to stay connected.
  watch_again_.expires_after(
      Clock::span(rewatch_backoff(failures_++, std::uniform_real_distribution<>()(jitter_))));
  watch_again_.async_wait([this](error_code cancelled) {
    if (!cancelled) watch_();
  });
}

// ---------------------------------------------------------------- events to actions

// The module is never called from within itself: what an action brings about at once waits its turn.
void Dispatcher::happen(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    // Danger: an exception that got out of here would leave the module unasked for good.
    try {
      handle(next);
    } catch (const std::exception& problem) {
      if (!std::exchange(failed_, true)) std::clog << "dispatcher: " << problem.what() << '\n';
    }
  }
  handling_ = false;
}

void Dispatcher::handle(const Event& event) {
  std::vector<Action> actions;
  bool failed = false;
  try {
    balancer_.handle(clock_.now(), event, actions);
  } catch (const std::exception& problem) {
    // The guard of each request still answers it in time. Once a log line: the next may fail the same way.
    failed = true;
    if (!std::exchange(module_failed_, true)) std::clog << "module: " << problem.what() << '\n';
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  // One that it failed over before anything was sent is answered at once.
  const Request* request = failed ? std::get_if<Request>(&event) : nullptr;
  if (request == nullptr) return;
  const auto at = held_.find(request->id);
  if (at != held_.end() && !at->second.any_open()) perform(Fail{request->id});
}

// A large answer is the client's from its first bytes on.
void Dispatcher::answer_begins(const std::string& id, int attempt, HttpResponse&& head,
                               std::shared_ptr<BodyPipe> body, double elapsed) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return body->close_reader();
  answer(at->second, {FinalAnswer::Kind::kServed, 0, std::move(head), std::move(body)});
  happen(ResponseStarted{id, attempt, elapsed});
}

void Dispatcher::attempt_ended(const std::string& id, int attempt, Outcome outcome, HttpResponse&& response,
                               double elapsed) {
  const auto at = held_.find(id);
  if (at == held_.end()) return;
  Held& held = at->second;
  held.open[static_cast<std::size_t>(attempt)] = false;
  if (outcome == Outcome::kSucceeded && !held.over()) {
    answer(held, {FinalAnswer::Kind::kServed, 0, std::move(response), nullptr});
  }
  AttemptResult event;
  event.id = id;
  event.attempt = attempt;
  event.outcome = outcome;
  event.elapsed = elapsed;
  event.body_consumed = !held.message->is_complete();
  held.path += ", " + held.servers[static_cast<std::size_t>(attempt)] + " " + name_of(outcome) + " after " +
               milliseconds(event.elapsed);
  held.went_badly |= outcome != Outcome::kSucceeded;
  event.request_completed = held.over();
  happen(std::move(event));
  settle(id);
}

// ---------------------------------------------------------------- the final answer

void Dispatcher::answer(Held& held, FinalAnswer&& answer) {
  const AnswerTo answer_to = std::exchange(held.answer_to, nullptr);
  held.guard.reset();
  const bool served = answer.kind == FinalAnswer::Kind::kServed;
  held.went_badly |= !served;
  held.path += served ? ", served" : answer.kind == FinalAnswer::Kind::kRejected ? ", refused" : ", failed";
  held.path += " after " + milliseconds(clock_.now() - held.since);
  answer_to(std::move(answer));
}

// A request stays in the table as long as it owes an answer or has attempts out.
void Dispatcher::settle(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.over() || at->second.any_open()) return;
  log_path(id, at->second);
  held_.erase(at);
}

// One that ended badly, or took more than one attempt, can be followed from its first byte to its last.
void Dispatcher::log_path(const std::string& id, const Held& held) {
  if (!held.went_badly) return;
  const double now = clock_.now();
  if (now >= paths_since_ + 1) {
    paths_since_ = now;
    paths_ = 0;
  }
  if (++paths_ <= kMostPaths) std::clog << "request " << id << held.path << '\n';
}

// Guards against a module that errs or holds on for too long, and against timers that come late.
void Dispatcher::overdue(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return;
  answer(at->second, {FinalAnswer::Kind::kFailed, 0, {}, nullptr});
  happen(RequestCancelled{id});
  withdraw(id);
  // The module cancels what it may; what is out besides ends by its own time-out, which lies before this
  // guard.
  settle(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::perform(const StartAttempt& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end()) return;
  Held& held = at->second;
  const int attempt = static_cast<int>(held.attempts.size());
  // Without a limit of its own, or with a longer one, an attempt ends with its request.
  const double left = std::min(held.until - clock_.now(), held.time_left - margin_of(held.time_left));
  double timeout = action.timeout == 0 ? left : std::min(action.timeout, left);
  if (held.over()) timeout = 0;  // danger: a send after the final answer; it never leaves
  held.open.push_back(true);
  held.servers.push_back(action.server);
  const double deadline = action.deadline == 0 ? left : std::min(action.deadline, left);
  held.attempts.push_back(upstream_.start_attempt(
      action.server, held.message, {timeout, deadline, action.send_within},
      {[this, id = action.id, attempt](HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed) {
         answer_begins(id, attempt, std::move(head), std::move(body), elapsed);
       },
       [this, id = action.id, attempt](Outcome outcome, HttpResponse&& response, double elapsed) {
         attempt_ended(id, attempt, outcome, std::move(response), elapsed);
       }}));
}

void Dispatcher::perform(const Reject& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.over()) return;
  answer(at->second, {FinalAnswer::Kind::kRejected, action.retry_after, {}, nullptr});
  settle(action.id);
}

void Dispatcher::perform(const Fail& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.over()) return;
  answer(at->second, {FinalAnswer::Kind::kFailed, 0, {}, nullptr});
  settle(action.id);
}

void Dispatcher::perform(const CancelAttempt& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < at->second.attempts.size()) upstream_.cancel(at->second.attempts[attempt]);
}

void Dispatcher::perform(const SetTimer& action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, clock_.at(action.due_at));
  timer->async_wait([this, timer, token = action.token](error_code cancelled) {
    if (!cancelled) happen(TimerFired{token});
  });
}

void Dispatcher::perform(const WatchMembership&) { watch_(); }

void Dispatcher::perform(const LogLine& action) { std::clog << action.text << '\n'; }

}  // namespace nettleyoke::node
