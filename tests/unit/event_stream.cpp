#include "event_stream.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nettleyoke::stream {
namespace {

constexpr double kFirstMoment = 1000;  // s; a clock may start anywhere

Settings settings_of(const Settings& settings, std::size_t replica) {
  Settings out = settings;
  out.replica_index = static_cast<int>(replica);
  return out;
}

}  // namespace

std::uint64_t DrawSource::next() {
  std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

// ---------------------------------------------------------------- servers

SimulatedServers::SimulatedServers(const Scenario& scenario, DrawSource& draw)
    : scenario_(scenario), draw_(draw) {
  for (int i = 0; i < scenario.servers; ++i) listed_.push_back(fresh_server(0));
}

Server SimulatedServers::fresh_server(double started) {
  Server server;
  server.address = next_address();
  server.zone = created_ % scenario_.zones;
  server.cell = created_ % scenario_.cells;
  server.weight = created_ % 3 == 2 ? 2 : 1;
  server.started = started;
  ++created_;
  return server;
}

double SimulatedServers::capacity(const Server& server, double now) const {
  const Settings& settings = scenario_.settings;
  const double full = scenario_.slots * std::max(server.weight, 0.5);
  if (server.started == 0 || settings.slow_start_duration <= 0) return full;
  const double warm = settings.initial_capacity + (now - server.started) / settings.slow_start_duration;
  return full * std::clamp(warm, 0.05, 1.0);
}

Outcome SimulatedServers::bad_outcome() {
  constexpr Outcome kOutcomes[] = {Outcome::kServerError, Outcome::kRejected, Outcome::kConnectFailed,
                                   Outcome::kReset,       Outcome::kNotSent,  Outcome::kUnknown,
                                   Outcome::kServerError, Outcome::kReset};
  return kOutcomes[draw_.below(std::size(kOutcomes))];
}

SimulatedServers::End SimulatedServers::begin(const std::string& address, double now, const Phase& phase,
                                              double work) {
  const double load = load_[address] += 1;
  const auto at = std::find_if(listed_.begin(), listed_.end(),
                               [&](const Server& server) { return server.address == address; });
  // The tail is long, and a quotient: the functions of libm differ between platforms.
  const double spread = 0.7 + 0.2 / (1.1 - draw_.unit());
  const double quick = draw_.between(0.001, 0.02);
  if (at == listed_.end() || at->state == ServerState::kRemoved) return {Outcome::kConnectFailed, quick};
  const bool sick = phase.has_sick_server && at == listed_.begin();
  if (draw_.chance(sick ? 0.85 : phase.failing)) return {bad_outcome(), quick * 3};
  if (at->state == ServerState::kDraining && draw_.chance(0.3)) return {Outcome::kRejected, quick};
  const double overload = std::max(1.0, load / capacity(*at, now));
  if (overload > 6) return {Outcome::kRejected, quick};
  const bool slow = phase.has_slow_server && at == listed_.begin() + 1;
  return {Outcome::kSucceeded,
          (scenario_.service_time + work) * spread * overload * phase.slowness * (slow ? 4 : 1)};
}

MembershipUpdate SimulatedServers::change(double now) {
  const std::size_t at = draw_.below(listed_.size());
  Server& server = listed_[at];
  const double kind = draw_.unit();
  if (scenario_.restarts && kind < 0.5) {
    server.started = now - draw_.between(0, 1);
    server.state = ServerState::kReady;
  } else if (server.state != ServerState::kReady) {
    server.state =
        server.state == ServerState::kDraining && kind < 0.7 ? ServerState::kRemoved : ServerState::kReady;
  } else if (kind < 0.75) {
    server.state = ServerState::kDraining;
  } else if (kind < 0.85) {
    server.weight = server.weight > 1 ? 1 : 1.5;
  } else if (kind < 0.88) {
    server.weight = 0;  // not a size: counts as 1
  } else {
    server = fresh_server(scenario_.restarts ? now - draw_.between(0, 8)
                                             : 0);  // in the place of one that a full list lacks
  }
  MembershipUpdate update{MembershipUpdate::Form::kChanges, {server}};
  for (const Server& other : listed_) {
    if (other.address != server.address && draw_.chance(0.1)) update.servers.push_back(other);
  }
  return update;
}

// ---------------------------------------------------------------- the stream

EventStream::EventStream(const Scenario& scenario, Listener listener)
    : scenario_(scenario),
      listener_(std::move(listener)),
      draw_(scenario.seed),
      servers_(scenario, draw_),
      clients_(scenario.replicas),
      now_(kFirstMoment) {
  for (std::size_t i = 0; i < scenario.replicas; ++i) {
    balancers_.emplace_back(settings_of(scenario.settings, i), scenario.seed * 100 + i);
  }
  for (const Phase& part : scenario.phases) length_ += part.seconds;
}

void EventStream::schedule(double after, std::function<void()> work) {
  tasks_.push({now_ + after, sequence_++, std::move(work)});
}

const Phase& EventStream::phase() const {
  double end = kFirstMoment;
  for (const Phase& part : scenario_.phases) {
    end += part.seconds;
    if (now_ < end) return part;
  }
  return scenario_.phases.back();
}

void EventStream::run() {
  notify_all(Started{});
  notify_all(servers_.full());
  schedule(0.01, [this] { arrive(); });
  schedule(scenario_.change_every, [this] { change_membership(); });
  schedule(5, [this] { switch_server(); });
  schedule(length_ / 3, [this] { replace_settings(scenario_.replacement); });
  schedule(length_ * 2 / 3, [this] { replace_settings(scenario_.settings); });
  while (!tasks_.empty()) {
    const Task task = tasks_.top();
    tasks_.pop();
    now_ = task.at;
    task.work();
  }
}

void EventStream::notify(std::size_t replica, const Event& event) {
  std::vector<Action> actions;
  balancers_[replica].handle(now_, event, actions);
  listener_(now_, replica, balancers_[replica], event, actions);
  for (const Action& action : actions) {
    std::visit([&](const auto& known) { obey(replica, known); }, action);
  }
}

void EventStream::notify_all(const Event& event) {
  for (std::size_t i = 0; i < balancers_.size(); ++i) notify(i, event);
}

// ---------------------------------------------------------------- requests

void EventStream::arrive() {
  if (now_ > kFirstMoment + length_) return;
  const std::size_t replica = draw_.below(balancers_.size());
  come(replica, draw_request());
  if (draw_.chance(phase().odd)) send_strays(replica);
  // Uneven gaps with a mean of one: bursts are a part of every load.
  const double gap = draw_.unit();
  schedule(gap * gap * 3 / phase().arrivals, [this] { arrive(); });
}

Request EventStream::draw_request() {
  const Phase& now = phase();
  const Settings& settings = scenario_.settings;
  Request request;
  request.id = "request-" + std::to_string(requests_++);
  request.tenant = draw_.below(std::max<std::size_t>(1, settings.tenants.size()));
  if (draw_.chance(now.flood)) request.tenant = settings.tenants.size() - 1;
  request.request_class = draw_.below(settings.classes.size());
  if (draw_.chance(now.odd / 2)) request.tenant = 77;
  if (draw_.chance(now.odd / 2)) request.request_class = 99;
  const double give_up = settings.classes[request.request_class % settings.classes.size()].client_timeout;
  request.time_left = draw_.chance(0.1) ? draw_.between(0, give_up / 3) : give_up;
  if (draw_.chance(0.2)) request.work = draw_.between(0.01, 0.1);
  request.is_client_retry = draw_.chance(0.05);
  request.body_in_progress = draw_.chance(0.05);
  return request;
}

void EventStream::come(std::size_t replica, const Request& request) {
  clients_[replica][request.id] = {request, {}, draw_.chance(0.1), false};
  notify(replica, request);
  if (draw_.chance(phase().odd)) notify(replica, request);  // the same id, still open or not
  if (request.body_in_progress) {
    schedule(draw_.between(0.01, 0.6), [=, this] { notify(replica, RequestBodyComplete{request.id}); });
  }
  schedule_departure(replica, request);
}

void EventStream::schedule_departure(std::size_t replica, const Request& request) {
  const double after = draw_.chance(0.04) ? draw_.between(0, 0.3) : request.time_left;
  schedule(after, [=, this] {
    if (!clients_[replica][request.id].answered) notify(replica, RequestCancelled{request.id});
  });
}

// Events that match nothing, or no longer do.
void EventStream::send_strays(std::size_t replica) {
  const std::string past = "request-" + std::to_string(draw_.below(requests_));
  const std::string latest = "request-" + std::to_string(requests_ - 1);
  notify(replica, AttemptResult{"nobody", 0, Outcome::kSucceeded, 0.1, true, false});
  notify(replica, AttemptResult{latest, -1, Outcome::kServerError, 0.1, false, false});
  notify(replica, AttemptResult{latest, 99, Outcome::kReset, 0.1, false, false});
  notify(replica, ResponseStarted{"nobody", 0, 0.1});
  notify(replica, RequestBodyComplete{past});
  notify(replica, RequestCancelled{"nobody"});
  notify(replica, TimerFired{12345});
  notify(replica, ServerAdminStateChanged{"server-unknown", draw_.chance(0.5)});
}

// ---------------------------------------------------------------- what the replicas say

EventStream::OpenAttempt* EventStream::open_attempt(std::size_t replica, const std::string& id, int attempt) {
  std::vector<OpenAttempt>& attempts = clients_[replica][id].attempts;
  OpenAttempt* const found = &attempts.at(static_cast<std::size_t>(attempt));
  return found->open ? found : nullptr;
}

void EventStream::obey(std::size_t replica, const StartAttempt& send) {
  Client& client = clients_[replica][send.id];
  const int attempt = static_cast<int>(client.attempts.size());
  client.attempts.push_back({send.server, now_, true});
  SimulatedServers::End result = servers_.begin(send.server, now_, phase(), client.request.work.value_or(0));
  if (result.elapsed > send.timeout) result = {Outcome::kTimedOut, send.timeout};
  if (send.send_within && *send.send_within < 0.02) result = {Outcome::kNotSent, 0.001};
  if (result.outcome == Outcome::kSucceeded && client.streams) {
    const double more = draw_.between(0.01, 0.5);
    schedule(result.elapsed, [=, this] { start_answer(replica, send.id, attempt, more); });
    return;
  }
  schedule(result.elapsed, [=, this] { end(replica, send.id, attempt, result.outcome); });
}

void EventStream::start_answer(std::size_t replica, const std::string& id, int attempt, double more) {
  const OpenAttempt* const found = open_attempt(replica, id, attempt);
  if (!found) return;
  clients_[replica][id].answered = true;
  const ResponseStarted started{id, attempt, now_ - found->sent};
  notify(replica, started);
  if (draw_.chance(0.1)) notify(replica, started);  // notified twice
  const Outcome outcome = draw_.chance(0.1) ? Outcome::kReset : Outcome::kSucceeded;
  schedule(more, [=, this] { end(replica, id, attempt, outcome); });
}

void EventStream::end(std::size_t replica, const std::string& id, int attempt, Outcome outcome) {
  OpenAttempt* const found = open_attempt(replica, id, attempt);
  if (!found) return;
  found->open = false;
  servers_.finish(found->server);
  AttemptResult result{id, attempt, outcome, now_ - found->sent, outcome == Outcome::kSucceeded, false};
  if (outcome == Outcome::kServerError)
    result.request_completed = draw_.chance(0.3);  // the error is the answer
  if (outcome != Outcome::kSucceeded) result.body_consumed = draw_.chance(0.05);
  if (result.request_completed) clients_[replica][id].answered = true;
  notify(replica, result);
  if (draw_.chance(phase().odd)) notify(replica, result);  // notified twice
}

// Some clients come again, under a new id and as a marked repeat.
void EventStream::obey(std::size_t replica, const Reject& refuse) {
  Client& client = clients_[replica][refuse.id];
  client.answered = true;
  if (client.request.is_client_retry || !draw_.chance(0.2)) return;
  Request again = client.request;
  again.id = "request-" + std::to_string(requests_++);
  again.is_client_retry = true;
  schedule(std::max(0.05, refuse.retry_after), [=, this] { come(replica, again); });
}

void EventStream::obey(std::size_t replica, const Fail& fail) { clients_[replica][fail.id].answered = true; }

void EventStream::obey(std::size_t replica, const CancelAttempt& cancel) {
  schedule(draw_.between(0, 0.01),
           [=, this] { end(replica, cancel.id, cancel.attempt, Outcome::kCancelled); });
}

void EventStream::obey(std::size_t replica, const SetTimer& timer) {
  schedule(std::max(0.0, timer.due_at - now_), [=, this] { notify(replica, TimerFired{timer.token}); });
}

void EventStream::obey(std::size_t replica, const WatchMembership&) {
  const bool hangs = draw_.chance(0.3);
  const double after = hangs ? draw_.between(1, 5) : draw_.between(0.01, 0.1);
  if (now_ > kFirstMoment + length_) return;
  schedule(after, [=, this] {
    const bool fails = draw_.chance(phase().discovery_fails ? 0.9 : 0.05);
    notify(replica, fails ? MembershipUpdate{MembershipUpdate::Form::kFailed, {}} : servers_.full());
  });
}

// ---------------------------------------------------------------- what operators do

void EventStream::change_membership() {
  if (now_ > kFirstMoment + length_) return;
  const MembershipUpdate update = servers_.change(now_);
  if (phase().discovery_fails || draw_.chance(0.1)) {
    notify_all(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  } else {
    notify_all(draw_.chance(0.3) ? servers_.full() : update);
  }
  schedule(scenario_.change_every, [this] { change_membership(); });
}

void EventStream::switch_server() {
  if (now_ > kFirstMoment + length_) return;
  // Also one that is not listed yet: it is out when it comes.
  const bool comes_later = draw_.chance(0.4);
  const std::string address = comes_later ? servers_.next_address() : servers_.any_address();
  notify_all(ServerAdminStateChanged{address, false});
  schedule(draw_.between(1, comes_later ? 12 : 6), [=, this] {
    notify_all(ServerAdminStateChanged{address, true});
  });
  schedule(draw_.between(3, 7), [this] { switch_server(); });
}

void EventStream::replace_settings(const Settings& settings) {
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    notify(i, SettingsReplaced{settings_of(settings, i)});
  }
}

}  // namespace nettleyoke::stream
