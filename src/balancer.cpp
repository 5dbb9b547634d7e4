// All decisions of nettleyoke. The interface, that is the types, events and actions, is
// include/nettleyoke/balancer.h; read it first. Reading order here: the constants, then one section for each
// question: admit? who is there? is it healthy? which server? how long? again? and last the events.
#include "nettleyoke/balancer.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "admission/load_shedding_log.h"
#include "admission/tenant_table.h"
#include "attempts/attempt_timeout.h"
#include "attempts/idempotency_rules.h"
#include "attempts/request_class_table.h"
#include "attempts/request_state.h"
#include "attempts/retry_budget.h"
#include "membership/server_registry.h"
#include "membership/subsetting.h"
#include "membership/watch_backoff.h"
#include "selection/endpoint_selector.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

// ---------------------------------------------------------------- constants

constexpr double kInTime = 0.6;  // of the aim; slower answers tell of queues before the aim is missed

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : random_(seed) {
    adopt(settings);
    for (const RequestClass& c : settings.classes) tier_limit_.assume_objective(c.latency_objective);
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  std::size_t servers() const { return servers_.tracked_count(); }

  std::size_t unavailable_servers(double now) const { return servers_.unavailable_count(now); }

  TenantStatistics view(double now, std::size_t tenant) const { return tenants_.at(tenant)->statistics(now); }

 private:
  // Takes settings over: at the start, and when they are replaced. Throws before anything is changed.
  void adopt(const Settings& settings) {
    validate(settings);
    settings_ = settings;
    slow_start_.configure(settings);
    subset_.configure(settings);
    selector_.configure(settings);
    tier_limit_.configure(settings);
    classes_.replace(settings);
    tenants_.replace(settings);
  }

  // ---------------------------------------------------------------- is it healthy?

  void detect_overload(ServerRecord& s) {
    if (!tier_limit_.is_first_tier() || !s.capacity.is_measured()) return;
    if (!s.capacity.update_slow() || !tier_limit_.overload_bound().may_drop(now_) || !is_overload()) return;
    const double bound = tier_limit_.overload_bound().drop(now_, tier_limit_.in_flight());
    out_->push_back(LogLine{"overloaded: " + s.advertised.address +
                            " and others turned slow, in flight limited to " + std::to_string(bound)});
  }

  bool is_overload() const {
    SlowServerCount count;
    for (const std::size_t i : subset_.all()) {
      const ServerRecord& s = servers_[i];
      if (s.capacity.is_measured()) count.add(s.capacity.is_slower_than_idle());
    }
    return count.is_overload();
  }

  double warmth(const ServerRecord& s) const {
    return slow_start_.factor(now_, s.slow_start, s.advertised.started);
  }

  // ---------------------------------------------------------------- which server?

  // ---------------------------------------------------------------- doing it

  bool send(const std::string& id, RequestState& p) {
    const double limit = attempt_timeout(now_, p);
    const std::optional<std::size_t> server = limit > 0 ? selector_.pick_endpoint(now_, p) : std::nullopt;
    if (!server) return false;
    ServerRecord& s = servers_[*server];
    const std::optional<double> within = retry_send_limit(now_, p);
    p.attempts.empty() ? retry_budget_.on_first_attempt() : retry_budget_.on_retry();
    if (warmth(s) < 1) s.slow_start.take_token();
    servers_.add_reference(*server);
    p.attempts.push_back({*server, now_});
    // Danger: a body may take seconds to come, or an answer to go. Taken for work the server has in hand, a
    // few of them would take up what the tier may hold, and all others be refused.
    if (!p.body_in_progress) count(p.attempts.back());
    out_->push_back(StartAttempt{id, s.advertised.address, limit, p.useful_until - now_, within});
    return true;
  }

  void count(AttemptRecord& a) {
    ServerRecord& s = servers_[a.server];
    a.in_flight = true;
    a.sent_at = now_;
    s.in_flight.add(now_);
    tier_limit_.add_in_flight();
  }

  void discount(AttemptRecord& a) {
    if (!std::exchange(a.in_flight, false)) return;
    ServerRecord& s = servers_[a.server];
    s.in_flight.remove(a.sent_at);
    tier_limit_.remove_in_flight();
  }

  void answer_unserved(const std::string& id, RequestState& p) {
    p.finished = true;
    if (!may_reject(p)) return out_->push_back(Fail{id});
    out_->push_back(Reject{id, settings_.max_retry_after / 2});
  }

  void note_shed(ShedReason reason) {
    if (const std::optional<std::string> line = load_shedding_log_.note(now_, reason)) {
      out_->push_back(LogLine{*line});
    }
  }

  void close(std::unordered_map<std::string, RequestState>::iterator it) {
    const RequestState ended = std::move(it->second);
    pending_.erase(it);
    for (const AttemptRecord& a : ended.attempts) {
      servers_.release_reference(a.server);
    }
  }

  void cancel_open(const std::string& id, const RequestState& p) {
    if (!settings_.can_cancel || p.response_started) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
      if (p.attempts[i].open) out_->push_back(CancelAttempt{id, static_cast<int>(i)});
    }
  }

  // ---------------------------------------------------------------- events

  void on(const Started&) {
    if (settings_.must_watch) out_->push_back(WatchMembership{});
  }

  void on(const Request& r) {
    if (pending_.contains(r.id)) return;  // an id that is still open: one answer is owed, not two
    const std::shared_ptr<TenantRateLimiter>& tenant = tenants_.at(r.tenant);
    const bool within_quota = tenant->is_within_quota(now_);
    if (!tenant->admit(now_, random_)) {
      out_->push_back(Reject{r.id, settings_.max_retry_after / 2});
      note_shed(ShedReason::kThrottled);
      return;
    }
    const std::shared_ptr<RequestClassState>& rules = classes_.at(r.request_class);
    const RequestClass& c = rules->rules;
    // Guards against work for calls that come too late: they would cost a server its time and end in a
    // time-out.
    if (r.time_left < rules->latency.quickest(now_)) {
      out_->push_back(Reject{r.id, settings_.max_retry_after / 2});
      return;
    }
    slow_start_.record_admitted(now_);
    const auto it = pending_.try_emplace(r.id).first;
    RequestState& p = it->second;
    p.tenant = tenant;
    p.request_class = rules;
    if (std::isfinite(c.latency_objective))
      tier_limit_.record_objective(std::min(c.latency_objective, c.client_timeout));
    const double latency_objective =
        std::min(c.latency_objective + c.objective_growth * r.work.value_or(0), c.client_timeout);
    p.useful_until =
        now_ + std::min(r.time_left,
                        c.late_value > 0 ? r.time_left : latency_objective - 2 * settings_.clock_granularity);
    p.within_quota = within_quota;
    p.accepted_at = now_;
    p.body_in_progress = r.body_in_progress;
    if (send(r.id, p)) return;
    tenant->on_failure();
    note_shed(ShedReason::kNoCapacity);
    answer_unserved(r.id, p);
    pending_.erase(it);
  }

  void on(const AttemptResult& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    RequestState& p = it->second;
    if (r.attempt < 0 || static_cast<std::size_t>(r.attempt) >= p.attempts.size()) return;
    AttemptRecord& a = p.attempts[static_cast<std::size_t>(r.attempt)];
    if (!a.open) return;
    a.open = false;
    p.body_consumed |= r.body_consumed;
    a.may_have_run = !proves_never_ran(r.outcome);
    ServerRecord& s = servers_[a.server];
    discount(a);
    if (!a.learned) {
      learn_from(p, s, r);
    } else if (r.outcome != Outcome::kSucceeded && r.outcome != Outcome::kCancelled) {
      s.outlier.record(now_, false);
    }
    if (r.request_completed && !p.finished) {
      p.finished = true;
      cancel_open(r.id, p);
    }
    if (!p.finished && !p.has_open_attempt() && !(retry_budget_.allows_retry(now_, p) && send(r.id, p)))
      answer_unserved(r.id, p);
    if (p.finished && !p.has_open_attempt()) close(it);
  }

  void learn_from(const RequestState& p, ServerRecord& s, const AttemptResult& r) {
    const bool was_well = !s.outlier.is_ejected(now_);
    if (r.outcome == Outcome::kCancelled || r.outcome == Outcome::kNotSent) return;
    const bool answered = r.outcome == Outcome::kSucceeded;
    LatencyEstimate& latency = p.request_class->latency;
    const double weight = r.outcome == Outcome::kTimedOut ? latency.timeout_weight(r.elapsed) : 1;
    if (r.outcome != Outcome::kRejected) s.outlier.record(now_, answered, weight);
    const double latency_objective = p.rules().latency_objective;
    const double part_of_aim = latency_objective > 0 ? r.elapsed / latency_objective : 0;
    if (answered) {
      s.capacity.record_response(now_, part_of_aim);
      tier_limit_.record_response(now_, part_of_aim);
    }
    const double told = answered ? r.elapsed : latency.censored_sample(r.elapsed);
    if (answered || (r.outcome == Outcome::kTimedOut && r.elapsed >= latency.mean())) {
      s.relative_latency.record(now_, latency.mean() > 0 ? std::max(told, r.elapsed) / latency.mean() : 1);
      selector_.record_latency(told);
      tier_limit_.record_recent_latency(latency_objective > 0 ? told / latency_objective : 0);
      latency.record(told);
      if (answered) latency.record_answer(now_, r.elapsed);
    }
    if (answered) {
      s.capacity.record_recent_latency(part_of_aim);
      detect_overload(s);
    }
    // As the design has it, failures cut and answers in time raise a limit; one sick server cuts no tenant.
    // Danger: an error or a spoilt answer tells of a server, not of a crowd, and comes at any load.
    const bool crowd = r.outcome == Outcome::kRejected || r.outcome == Outcome::kTimedOut ||
                       r.outcome == Outcome::kConnectFailed;
    if (answered && part_of_aim < kInTime) p.tenant->on_success(now_);
    if (!answered && was_well && crowd) p.tenant->on_failure();
  }

  void on(const ResponseStarted& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    RequestState& p = it->second;
    p.response_started = true;
    if (r.attempt < 0 || static_cast<std::size_t>(r.attempt) >= p.attempts.size()) return;
    AttemptRecord& a = p.attempts[static_cast<std::size_t>(r.attempt)];
    if (!a.open || std::exchange(a.learned, true)) return;
    discount(a);
    learn_from(p, servers_[a.server], {r.id, r.attempt, Outcome::kSucceeded, r.elapsed});
  }

  void on(const RequestBodyComplete& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end() || !std::exchange(it->second.body_in_progress, false)) return;
    RequestState& p = it->second;
    p.useful_until += now_ - p.accepted_at;
    for (AttemptRecord& a : p.attempts) {
      if (a.open && !a.in_flight && !a.learned) count(a);
    }
  }

  void on(const RequestCancelled& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    if (!it->second.finished) cancel_open(r.id, it->second);
    it->second.finished = true;
    if (!it->second.has_open_attempt()) close(it);
  }

  void on(const MembershipUpdate& update) {
    if (update.form == MembershipUpdate::Form::kFailed) {
      if (!settings_.must_watch) return;
      const double due_at = watch_backoff_.next_attempt_at(now_, settings_.notification_deadline, random_);
      out_->push_back(SetTimer{due_at, ++watch_timer_});
      return;
    }
    watch_backoff_.reset();
    tier_limit_.on_membership(now_);
    servers_.update(now_, update, random_);
    subset_.rebuild(servers_);
  }

  void on(const ServerAdminStateChanged& e) {
    if (servers_.set_admin_state(now_, e, random_)) subset_.rebuild(servers_);
  }

  void on(const SettingsReplaced& e) {
    const bool watched = settings_.must_watch;
    adopt(e.settings);
    watch_backoff_.reset();  // discovery may be another
    if (settings_.must_watch && !watched) out_->push_back(WatchMembership{});
    subset_.rebuild(servers_);
  }

  void on(const TimerFired& timer) {
    if (timer.token == watch_timer_ && settings_.must_watch) out_->push_back(WatchMembership{});
  }

  Settings settings_;
  RandomSource random_;
  double now_ = 0;
  std::vector<Action>* out_ = nullptr;
  TenantTable tenants_;
  LoadSheddingLog load_shedding_log_;
  RequestClassTable classes_;
  TierConcurrencyLimit tier_limit_;
  ServerRegistry servers_;
  Subset subset_;
  SlowStartPolicy slow_start_;
  EndpointSelector selector_{servers_, subset_, tier_limit_, slow_start_, random_};
  RetryBudget retry_budget_;
  WatchBackoff watch_backoff_;
  std::uint64_t watch_timer_ = 0;  // the last one set: others, from before a reload, would be more calls
  std::unordered_map<std::string, RequestState>
      pending_;  // looked up, never walked: order would not be stable
};

Balancer::Balancer(const Settings& s, std::uint64_t seed) : impl_(std::make_unique<Impl>(s, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t Balancer::servers() const { return impl_->servers(); }

std::size_t Balancer::unavailable_servers(double now) const { return impl_->unavailable_servers(now); }

TenantStatistics Balancer::tenant(double now, std::size_t tenant) const { return impl_->view(now, tenant); }

}  // namespace nettleyoke
