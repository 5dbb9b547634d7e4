#include "event_stream.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nettleyoke::stream {
namespace {

constexpr double kStreamStart = 1000;  // s; a clock may start at any value

Settings settings_of_replica(const Settings& settings, std::size_t replica) {
  Settings out = settings;
  out.replica_index = static_cast<int>(replica);
  return out;
}

}  // namespace

std::uint64_t StreamRandom::next() {
  std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

// ---------------------------------------------------------------- servers

SimulatedServers::SimulatedServers(const Scenario& scenario, StreamRandom& random)
    : scenario_(scenario), random_(random) {
  for (int i = 0; i < scenario.servers; ++i) listed_.push_back(new_server(0));
}

Server SimulatedServers::new_server(double started) {
  Server server;
  server.address = next_server_address();
  server.zone = created_ % scenario_.zones;
  server.cell = created_ % scenario_.cells;
  server.weight = created_ % 3 == 2 ? 2 : 1;
  server.started = started;
  ++created_;
  return server;
}

double SimulatedServers::capacity(const Server& server, double now) const {
  const Settings& settings = scenario_.settings;
  const double full_capacity = scenario_.slots * std::max(server.weight, 0.5);
  if (server.started == 0 || settings.slow_start_duration <= 0) return full_capacity;
  const double warm_fraction =
      settings.initial_capacity + (now - server.started) / settings.slow_start_duration;
  return full_capacity * std::clamp(warm_fraction, 0.05, 1.0);
}

Outcome SimulatedServers::random_failure() {
  constexpr Outcome kOutcomes[] = {Outcome::kServerError, Outcome::kRejected, Outcome::kConnectFailed,
                                   Outcome::kReset,       Outcome::kNotSent,  Outcome::kUnknown,
                                   Outcome::kServerError, Outcome::kReset};
  return kOutcomes[random_.below(std::size(kOutcomes))];
}

SimulatedServers::AttemptEnd SimulatedServers::begin_attempt(const std::string& address, double now,
                                                             const Phase& phase, double work) {
  const double load = load_[address] += 1;
  const auto at = std::find_if(listed_.begin(), listed_.end(),
                               [&](const Server& server) { return server.address == address; });
  // A random factor of the service time with a long tail. It is computed by a division because the functions
  // of libm differ between platforms.
  const double spread = 0.7 + 0.2 / (1.1 - random_.unit());
  const double quick_failure_seconds = random_.between(0.001, 0.02);
  if (at == listed_.end() || at->state == ServerState::kRemoved)
    return {Outcome::kConnectFailed, quick_failure_seconds};
  const bool failing = phase.has_failing_server && at == listed_.begin();
  if (random_.chance(failing ? 0.85 : phase.failure_rate))
    return {random_failure(), quick_failure_seconds * 3};
  if (at->state == ServerState::kDraining && random_.chance(0.3))
    return {Outcome::kRejected, quick_failure_seconds};
  const double overload = std::max(1.0, load / capacity(*at, now));
  if (overload > 6) return {Outcome::kRejected, quick_failure_seconds};
  const bool slow = phase.has_slow_server && at == listed_.begin() + 1;
  return {Outcome::kSucceeded,
          (scenario_.service_time + work) * spread * overload * phase.slowdown * (slow ? 4 : 1)};
}

MembershipUpdate SimulatedServers::change_server(double now) {
  const std::size_t at = random_.below(listed_.size());
  Server& server = listed_[at];
  const double chosen_change = random_.unit();
  if (scenario_.restarts && chosen_change < 0.5) {
    server.started = now - random_.between(0, 1);
    server.state = ServerState::kReady;
  } else if (server.state != ServerState::kReady) {
    server.state = server.state == ServerState::kDraining && chosen_change < 0.7 ? ServerState::kRemoved
                                                                                 : ServerState::kReady;
  } else if (chosen_change < 0.75) {
    server.state = ServerState::kDraining;
  } else if (chosen_change < 0.85) {
    server.weight = server.weight > 1 ? 1 : 1.5;
  } else if (chosen_change < 0.88) {
    server.weight = 0;  // invalid: the balancer takes it for 1
  } else {
    // The replaced server is missing from the next full list.
    server = new_server(scenario_.restarts ? now - random_.between(0, 8) : 0);
  }
  MembershipUpdate update{MembershipUpdate::Form::kChanges, {server}};
  for (const Server& other : listed_) {
    if (other.address != server.address && random_.chance(0.1)) update.servers.push_back(other);
  }
  return update;
}

// ---------------------------------------------------------------- the stream

EventStream::EventStream(const Scenario& scenario, Listener listener)
    : scenario_(scenario),
      listener_(std::move(listener)),
      random_(scenario.seed),
      servers_(scenario, random_),
      clients_(scenario.replicas),
      now_(kStreamStart) {
  for (std::size_t i = 0; i < scenario.replicas; ++i) {
    balancers_.emplace_back(settings_of_replica(scenario.settings, i), scenario.seed * 100 + i);
  }
  for (const Phase& phase : scenario.phases) duration_ += phase.seconds;
}

void EventStream::schedule(double after, std::function<void()> work) {
  tasks_.push({now_ + after, sequence_++, std::move(work)});
}

const Phase& EventStream::current_phase() const {
  double end = kStreamStart;
  for (const Phase& phase : scenario_.phases) {
    end += phase.seconds;
    if (now_ < end) return phase;
  }
  return scenario_.phases.back();
}

void EventStream::run() {
  notify_all(Started{});
  notify_all(servers_.full_list());
  schedule(0.01, [this] { arrive(); });
  schedule(scenario_.change_every, [this] { change_membership(); });
  schedule(5, [this] { disable_server(); });
  schedule(duration_ / 3, [this] { replace_settings(scenario_.replacement); });
  schedule(duration_ * 2 / 3, [this] { replace_settings(scenario_.settings); });
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
    std::visit([&](const auto& typed_action) { execute(replica, typed_action); }, action);
  }
}

void EventStream::notify_all(const Event& event) {
  for (std::size_t i = 0; i < balancers_.size(); ++i) notify(i, event);
}

// ---------------------------------------------------------------- requests

void EventStream::arrive() {
  if (now_ > kStreamStart + duration_) return;
  const std::size_t replica = random_.below(balancers_.size());
  send_request(replica, draw_request());
  if (random_.chance(current_phase().anomaly_rate)) send_stray_events(replica);
  // Uneven gaps with a mean of 1 / arrival_rate, so that requests also arrive in bursts.
  const double gap = random_.unit();
  schedule(gap * gap * 3 / current_phase().arrival_rate, [this] { arrive(); });
}

Request EventStream::draw_request() {
  const Phase& phase = current_phase();
  const Settings& settings = scenario_.settings;
  Request request;
  request.id = "request-" + std::to_string(requests_++);
  request.tenant = random_.below(std::max<std::size_t>(1, settings.tenants.size()));
  if (random_.chance(phase.last_tenant_share)) request.tenant = settings.tenants.size() - 1;
  request.request_class = random_.below(settings.classes.size());
  if (random_.chance(phase.anomaly_rate / 2)) request.tenant = 77;
  if (random_.chance(phase.anomaly_rate / 2)) request.request_class = 99;
  const double client_timeout =
      settings.classes[request.request_class % settings.classes.size()].client_timeout;
  request.time_left = random_.chance(0.1) ? random_.between(0, client_timeout / 3) : client_timeout;
  if (random_.chance(0.2)) request.work = random_.between(0.01, 0.1);
  request.is_client_retry = random_.chance(0.05);
  request.body_in_progress = random_.chance(0.05);
  return request;
}

void EventStream::send_request(std::size_t replica, const Request& request) {
  clients_[replica][request.id] = {request, {}, random_.chance(0.1), false};
  notify(replica, request);
  // Sends the same id again; the first request with it may be open or have ended.
  if (random_.chance(current_phase().anomaly_rate)) notify(replica, request);
  if (request.body_in_progress) {
    schedule(random_.between(0.01, 0.6), [=, this] { notify(replica, RequestBodyComplete{request.id}); });
  }
  schedule_cancellation(replica, request);
}

void EventStream::schedule_cancellation(std::size_t replica, const Request& request) {
  const double after = random_.chance(0.04) ? random_.between(0, 0.3) : request.time_left;
  schedule(after, [=, this] {
    if (!clients_[replica][request.id].answered) notify(replica, RequestCancelled{request.id});
  });
}

// Sends events that refer to unknown or finished requests, attempts, timers and servers.
void EventStream::send_stray_events(std::size_t replica) {
  const std::string past = "request-" + std::to_string(random_.below(requests_));
  const std::string latest = "request-" + std::to_string(requests_ - 1);
  notify(replica, AttemptResult{"nobody", 0, Outcome::kSucceeded, 0.1, true, false});
  notify(replica, AttemptResult{latest, -1, Outcome::kServerError, 0.1, false, false});
  notify(replica, AttemptResult{latest, 99, Outcome::kReset, 0.1, false, false});
  notify(replica, ResponseStarted{"nobody", 0, 0.1});
  notify(replica, RequestBodyComplete{past});
  notify(replica, RequestCancelled{"nobody"});
  notify(replica, TimerFired{12345});
  notify(replica, ServerAdminStateChanged{"server-unknown", random_.chance(0.5)});
}

// ---------------------------------------------------------------- actions of the replicas

EventStream::SimulatedAttempt* EventStream::find_open_attempt(std::size_t replica, const std::string& id,
                                                              int attempt) {
  std::vector<SimulatedAttempt>& attempts = clients_[replica][id].attempts;
  SimulatedAttempt* const found = &attempts.at(static_cast<std::size_t>(attempt));
  return found->open ? found : nullptr;
}

void EventStream::execute(std::size_t replica, const StartAttempt& started) {
  Client& client = clients_[replica][started.id];
  const int attempt = static_cast<int>(client.attempts.size());
  client.attempts.push_back({started.server, now_, true});
  SimulatedServers::AttemptEnd result =
      servers_.begin_attempt(started.server, now_, current_phase(), client.request.work.value_or(0));
  if (result.elapsed > started.timeout) result = {Outcome::kTimedOut, started.timeout};
  if (started.send_within && *started.send_within < 0.02) result = {Outcome::kNotSent, 0.001};
  if (result.outcome == Outcome::kSucceeded && client.streams_response) {
    const double body_seconds = random_.between(0.01, 0.5);
    schedule(result.elapsed, [=, this] { start_response(replica, started.id, attempt, body_seconds); });
    return;
  }
  schedule(result.elapsed, [=, this] { end_attempt(replica, started.id, attempt, result.outcome); });
}

void EventStream::start_response(std::size_t replica, const std::string& id, int attempt,
                                 double body_seconds) {
  const SimulatedAttempt* const found = find_open_attempt(replica, id, attempt);
  if (!found) return;
  clients_[replica][id].answered = true;
  const ResponseStarted started{id, attempt, now_ - found->sent_at};
  notify(replica, started);
  if (random_.chance(0.1)) notify(replica, started);  // reported twice
  const Outcome outcome = random_.chance(0.1) ? Outcome::kReset : Outcome::kSucceeded;
  schedule(body_seconds, [=, this] { end_attempt(replica, id, attempt, outcome); });
}

void EventStream::end_attempt(std::size_t replica, const std::string& id, int attempt, Outcome outcome) {
  SimulatedAttempt* const found = find_open_attempt(replica, id, attempt);
  if (!found) return;
  found->open = false;
  servers_.finish_attempt(found->server);
  AttemptResult result{id, attempt, outcome, now_ - found->sent_at, outcome == Outcome::kSucceeded, false};
  if (outcome == Outcome::kServerError)
    result.request_completed = random_.chance(0.3);  // the error is the final answer
  if (outcome != Outcome::kSucceeded) result.body_consumed = random_.chance(0.05);
  if (result.request_completed) clients_[replica][id].answered = true;
  notify(replica, result);
  if (random_.chance(current_phase().anomaly_rate)) notify(replica, result);  // reported twice
}

// Some clients retry after a rejection, under a new id and marked as a client retry.
void EventStream::execute(std::size_t replica, const Reject& rejection) {
  Client& client = clients_[replica][rejection.id];
  client.answered = true;
  if (client.request.is_client_retry || !random_.chance(0.2)) return;
  Request retry = client.request;
  retry.id = "request-" + std::to_string(requests_++);
  retry.is_client_retry = true;
  schedule(std::max(0.05, rejection.retry_after), [=, this] { send_request(replica, retry); });
}

void EventStream::execute(std::size_t replica, const Fail& failure) {
  clients_[replica][failure.id].answered = true;
}

void EventStream::execute(std::size_t replica, const CancelAttempt& cancel) {
  schedule(random_.between(0, 0.01),
           [=, this] { end_attempt(replica, cancel.id, cancel.attempt, Outcome::kCancelled); });
}

void EventStream::execute(std::size_t replica, const SetTimer& timer) {
  schedule(std::max(0.0, timer.due_at - now_), [=, this] { notify(replica, TimerFired{timer.token}); });
}

void EventStream::execute(std::size_t replica, const WatchMembership&) {
  const bool hangs = random_.chance(0.3);
  const double after = hangs ? random_.between(1, 5) : random_.between(0.01, 0.1);
  if (now_ > kStreamStart + duration_) return;
  schedule(after, [=, this] {
    const bool fails = random_.chance(current_phase().discovery_fails ? 0.9 : 0.05);
    notify(replica, fails ? MembershipUpdate{MembershipUpdate::Form::kFailed, {}} : servers_.full_list());
  });
}

// ---------------------------------------------------------------- membership and settings

void EventStream::change_membership() {
  if (now_ > kStreamStart + duration_) return;
  const MembershipUpdate update = servers_.change_server(now_);
  if (current_phase().discovery_fails || random_.chance(0.1)) {
    notify_all(MembershipUpdate{MembershipUpdate::Form::kFailed, {}});
  } else {
    notify_all(random_.chance(0.3) ? servers_.full_list() : update);
  }
  schedule(scenario_.change_every, [this] { change_membership(); });
}

void EventStream::disable_server() {
  if (now_ > kStreamStart + duration_) return;
  // May be a server that is not listed yet: it is disabled as soon as it is listed.
  const bool is_unlisted = random_.chance(0.4);
  const std::string address = is_unlisted ? servers_.next_server_address() : servers_.random_address();
  notify_all(ServerAdminStateChanged{address, false});
  schedule(random_.between(1, is_unlisted ? 12 : 6), [=, this] {
    notify_all(ServerAdminStateChanged{address, true});
  });
  schedule(random_.between(3, 7), [this] { disable_server(); });
}

void EventStream::replace_settings(const Settings& settings) {
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    notify(i, SettingsReplaced{settings_of_replica(settings, i)});
  }
}

}  // namespace nettleyoke::stream
