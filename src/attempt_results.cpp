// The results of attempts, and what each module learns from them.
#include <algorithm>
#include <utility>

#include "attempts/attempt_timeout.h"
#include "attempts/idempotency_rules.h"
#include "balancer_impl.h"

namespace nettleyoke {
namespace {

// Fraction of the latency objective up to which a response raises the tenant's rate limit. Slower responses
// show queues before the objective is missed.
constexpr double kMaxLatencyRatioForSuccess = 0.6;

// A latency as a fraction of the latency objective; 0 if the class has no objective.
double latency_ratio(const RequestState& request, double latency) {
  const double objective = request.class_settings().latency_objective;
  return objective > 0 ? latency / objective : 0;
}

// Whether the outcome is a sign of too much load. An error or an invalid response is a fault of the server
// and occurs at any load.
bool indicates_overload(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kTimedOut || outcome == Outcome::kConnectFailed;
}

// A rejection is a sign of load, not of a fault, and does not count.
void learn_health(double now, const RequestState& request, ServerRecord& server,
                  const AttemptResult& result) {
  if (result.outcome == Outcome::kRejected) return;
  const bool timed_out = result.outcome == Outcome::kTimedOut;
  const double weight = timed_out ? request.request_class->latency.timeout_weight(result.elapsed) : 1;
  server.outlier.record(now, result.outcome == Outcome::kSucceeded, weight);
}

// Overload lowers a tenant's rate limit and responses in time raise it. Failures of a server that was already
// ejected do not lower it.
void learn_rate_limit(double now, const RequestState& request, const AttemptResult& result,
                      bool was_ejected) {
  if (result.outcome == Outcome::kSucceeded) {
    if (latency_ratio(request, result.elapsed) < kMaxLatencyRatioForSuccess) request.tenant->on_success(now);
  } else if (!was_ejected && indicates_overload(result.outcome)) {
    request.tenant->on_failure();
  }
}

}  // namespace

void Balancer::Impl::on(const ResponseStarted& started) {
  const auto entry = requests_.find(started.id);
  if (entry == requests_.end()) return;
  RequestState& request = entry->second;
  request.response_started = true;
  AttemptRecord* attempt = request.find_attempt(started.attempt);
  if (attempt == nullptr || !attempt->open || std::exchange(attempt->success_recorded, true)) return;
  remove_in_flight(*attempt);
  learn_from(request, registry_[attempt->server],
             {started.id, started.attempt, Outcome::kSucceeded, started.elapsed});
}

void Balancer::Impl::on(const AttemptResult& result) {
  const auto entry = requests_.find(result.id);
  if (entry == requests_.end()) return;
  RequestState& request = entry->second;
  AttemptRecord* attempt = request.find_attempt(result.attempt);
  if (attempt == nullptr || !attempt->open) return;
  attempt->open = false;
  attempt->response_incomplete = result.response_incomplete;
  attempt->may_have_run = !proves_never_ran(result.outcome);
  request.body_consumed |= result.body_consumed;
  remove_in_flight(*attempt);

  ServerRecord& server = registry_[attempt->server];
  if (!attempt->success_recorded) {
    learn_from(request, server, result);
  } else if (result.outcome != Outcome::kSucceeded && result.outcome != Outcome::kCancelled) {
    server.outlier.record(now_, false);
  }
  if (result.request_completed && !request.finished) {
    request.finished = true;
    cancel_open_attempts(result.id, request);
  }
  if (!request.finished && !request.has_open_attempt()) {
    const bool retried = retry_budget_.allows_retry(now_, request) && start_attempt(result.id, request);
    if (!retried) reject_or_fail(result.id, request);
  }
  if (request.finished && !request.has_open_attempt()) close(entry);
}

bool Balancer::Impl::may_retry_incomplete_response(double now, const std::string& id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) return false;
  const RequestState& request = entry->second;
  if (request.finished || request.had_incomplete_response()) return false;
  return retry_budget_.allows_retry(now, request) && attempt_timeout(now, request) > 0 &&
         selector_.has_eligible(now, request);
}

void Balancer::Impl::learn_from(const RequestState& request, ServerRecord& server,
                                const AttemptResult& result) {
  if (result.outcome == Outcome::kCancelled || result.outcome == Outcome::kNotSent) return;
  const bool was_ejected = server.outlier.is_ejected(now_);
  learn_health(now_, request, server, result);
  learn_latency(request, server, result);
  learn_rate_limit(now_, request, result, was_ejected);
}

void Balancer::Impl::learn_latency(const RequestState& request, ServerRecord& server,
                                   const AttemptResult& result) {
  const bool succeeded = result.outcome == Outcome::kSucceeded;
  LatencyEstimate& latency = request.request_class->latency;
  const bool is_late_timeout = result.outcome == Outcome::kTimedOut && result.elapsed >= latency.mean();
  if (!succeeded && !is_late_timeout) return;

  const double ratio = latency_ratio(request, result.elapsed);
  if (succeeded) {
    server.capacity.record_response(now_, ratio);
    tier_limit_.record_response(now_, ratio);
  }
  const double sample = succeeded ? result.elapsed : latency.censored_sample(result.elapsed);
  const double relative = latency.mean() > 0 ? std::max(sample, result.elapsed) / latency.mean() : 1;
  server.relative_latency.record(now_, relative);
  selector_.record_latency(sample);
  tier_limit_.record_recent_latency(latency_ratio(request, sample));
  latency.record(sample);
  if (!succeeded) return;
  latency.record_minimum(now_, result.elapsed);
  server.capacity.record_recent_latency(ratio);
  detect_overload(server);
}

// When several servers turn slow, the attempts in flight at that moment are more than the tier can process.
void Balancer::Impl::detect_overload(ServerRecord& server) {
  if (!tier_limit_.is_first_tier() || !server.capacity.is_measured()) return;
  const bool turned_slow = server.capacity.update_slow_state();
  OverloadBound& bound = tier_limit_.overload_bound();
  if (!turned_slow || !bound.may_lower(now_) || !are_servers_overloaded()) return;
  const double max_in_flight = bound.lower(now_, tier_limit_.in_flight());
  actions_->emplace_back(LogLine{"overloaded: " + server.advertised.address +
                                 " and other servers turned slow, attempts in flight limited to " +
                                 std::to_string(max_in_flight)});
}

bool Balancer::Impl::are_servers_overloaded() const {
  SlowServerCount count;
  for (const std::size_t index : subset_.all()) {
    const ServerConcurrencyLimit& capacity = registry_[index].capacity;
    if (capacity.is_measured()) count.add(capacity.is_slower_than_idle());
  }
  return count.is_overload();
}

}  // namespace nettleyoke
