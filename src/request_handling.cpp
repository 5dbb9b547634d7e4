// The events of a request: its arrival, its body and its cancellation. Admission, attempts and final answers.
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "attempts/attempt_timeout.h"
#include "attempts/idempotency_rules.h"
#include "balancer_impl.h"

namespace nettleyoke {

void Balancer::Impl::on(const Request& request) {
  if (requests_.contains(request.id)) return;  // a duplicate of an open request, which gets one final answer
  TenantRateLimiter& tenant = *tenants_.at(request.tenant);
  const bool within_quota = tenant.is_within_quota(now_);
  if (!tenant.admit(now_, random_)) return shed(request.id, ShedReason::kThrottled);
  // If not even the quickest recent response would be in time, an attempt would only waste a server's work.
  const RequestClassState& request_class = *classes_.at(request.request_class);
  if (request.time_left < request_class.latency.recent_minimum(now_)) return reject(request.id);

  slow_start_.record_admitted(now_);
  const RequestClass& class_settings = request_class.class_settings;
  if (std::isfinite(class_settings.latency_objective)) {
    tier_limit_.record_objective(std::min(class_settings.latency_objective, class_settings.client_timeout));
  }
  const auto entry = requests_.try_emplace(request.id, make_state(request, within_quota)).first;
  if (start_attempt(request.id, entry->second)) return;
  tenant.on_failure();
  log_load_shedding(ShedReason::kNoCapacity);
  reject_or_fail(request.id, entry->second);
  requests_.erase(entry);
}

RequestState Balancer::Impl::make_state(const Request& request, bool within_quota) const {
  RequestState state;
  state.tenant = tenants_.at(request.tenant);
  state.request_class = classes_.at(request.request_class);
  const RequestClass& class_settings = state.class_settings();
  const double objective =
      std::min(class_settings.latency_objective + class_settings.objective_growth * request.work.value_or(0),
               class_settings.client_timeout);
  const double useful_for =
      class_settings.late_value > 0 ? request.time_left : objective - 2 * settings_.clock_granularity;
  state.useful_until = now_ + std::min(request.time_left, useful_for);
  state.accepted_at = now_;
  state.within_quota = within_quota;
  state.body_in_progress = request.body_in_progress;
  return state;
}

void Balancer::Impl::on(const RequestBodyComplete& complete) {
  const auto entry = requests_.find(complete.id);
  if (entry == requests_.end()) return;
  RequestState& request = entry->second;
  if (!std::exchange(request.body_in_progress, false)) return;
  request.useful_until += now_ - request.accepted_at;
  for (AttemptRecord& attempt : request.attempts) {
    if (attempt.open && !attempt.in_flight && !attempt.success_recorded) add_in_flight(attempt);
  }
}

void Balancer::Impl::on(const RequestCancelled& cancelled) {
  const auto entry = requests_.find(cancelled.id);
  if (entry == requests_.end()) return;
  RequestState& request = entry->second;
  if (!request.finished) cancel_open_attempts(cancelled.id, request);
  request.finished = true;
  if (!request.has_open_attempt()) close(entry);
}

// Returns false if there is too little time, the tier is at its limit, or no server is eligible.
bool Balancer::Impl::start_attempt(const std::string& id, RequestState& request) {
  const double timeout = attempt_timeout(now_, request);
  if (!(timeout > 0)) return false;
  const std::optional<std::size_t> index = selector_.pick_endpoint(now_, request);
  if (!index) return false;

  ServerRecord& server = registry_[*index];
  const std::optional<double> send_within = retry_send_limit(now_, request);
  if (request.attempts.empty()) {
    retry_budget_.on_first_attempt();
  } else {
    retry_budget_.on_retry();
  }
  if (slow_start_.factor(now_, server.slow_start, server.advertised.started) < 1) {
    server.slow_start.take_token();
  }
  registry_.add_reference(*index);
  request.attempts.push_back({*index, now_});
  // A body may take seconds to arrive and a response seconds to be sent. If those times counted as in flight,
  // a few such requests would use up the tier's concurrency limit, and all others would be rejected.
  if (!request.body_in_progress) add_in_flight(request.attempts.back());
  actions_->emplace_back(
      StartAttempt{id, server.advertised.address, timeout, request.time_left(now_), send_within});
  return true;
}

void Balancer::Impl::add_in_flight(AttemptRecord& attempt) {
  attempt.in_flight = true;
  attempt.sent_at = now_;
  registry_[attempt.server].in_flight.add(now_);
  tier_limit_.add_in_flight();
}

void Balancer::Impl::remove_in_flight(AttemptRecord& attempt) {
  if (!std::exchange(attempt.in_flight, false)) return;
  registry_[attempt.server].in_flight.remove(attempt.sent_at);
  tier_limit_.remove_in_flight();
}

void Balancer::Impl::shed(const std::string& id, ShedReason reason) {
  reject(id);
  log_load_shedding(reason);
}

void Balancer::Impl::reject(const std::string& id) {
  actions_->emplace_back(Reject{id, settings_.max_retry_after / 2});
}

void Balancer::Impl::reject_or_fail(const std::string& id, RequestState& request) {
  request.finished = true;
  if (may_reject(request)) return reject(id);
  actions_->emplace_back(Fail{id});
}

void Balancer::Impl::cancel_open_attempts(const std::string& id, const RequestState& request) {
  if (!settings_.can_cancel || request.response_started) return;
  for (std::size_t number = 0; number < request.attempts.size(); ++number) {
    if (request.attempts[number].open) actions_->emplace_back(CancelAttempt{id, static_cast<int>(number)});
  }
}

void Balancer::Impl::close(RequestMap::iterator entry) {
  const RequestState closed = std::move(entry->second);
  requests_.erase(entry);
  for (const AttemptRecord& attempt : closed.attempts) registry_.release_reference(attempt.server);
}

void Balancer::Impl::log_load_shedding(ShedReason reason) {
  const std::optional<std::string> line = load_shedding_log_.record_rejection(now_, reason);
  if (line) actions_->emplace_back(LogLine{*line});
}

}  // namespace nettleyoke
