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
#include "capacity/concurrency_limits.h"
#include "capacity/in_flight_load.h"
#include "health/outlier_detection.h"
#include "health/slow_start.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

// ---------------------------------------------------------------- constants

constexpr double kInTime = 0.6;  // of the aim; slower answers tell of queues before the aim is missed

constexpr std::size_t kSubset = 5;     // servers at least; enough spread, few connections
constexpr std::size_t kCover = 2;      // copies that use each server, at least: few copies have large subsets
constexpr std::size_t kColdCover = 8;  // the same of a cold one, with extra members: uneven copies even out
constexpr double kFailPower = 4;       // how strongly failures make a server look busy
constexpr double kPaceGain = 0.3;      // weight of one answer in a server's pace
constexpr double kPaceMemory = 20;     // s; fades to the usual, or a slow server is never met again
constexpr double kPriceWeight = 50;    // a crossing's price of 0.01 makes a server look half as busy again

constexpr double kLatencyGain = 0.05;  // weight of one sample in the usual latency
constexpr double kRewatch = 0.3;       // s; first wait before asking for the members again, then doubled
constexpr double kAskApart = 4;        // s; between the starts of two calls that fail, at most

struct ServerNode {
  Server told;
  std::uint64_t order = 0, listed = 0;  // listed: in which membership update it was told last
  bool banned = false;                  // taken out by hand
  bool extra = false;                   // in this copy's subset only while it is cold
  InFlightLoad in_flight;
  int named = 0;           // by attempts of open requests, ended ones too
  bool forgotten = false;  // its place is free for another
  OutlierDetection outlier;
  SlowStart slow_start;
  ServerConcurrencyLimit capacity;
  Ewma pace{1, 0, 0};  // answer time against the usual of the same class
  double paced_at = 0;
};

}  // namespace

// Evenly spaced starts on a ring: any two servers differ by at most one in how many copies use them, and a
// server that leaves moves each start by one place at most.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || replica_count == 0) return out;
  const std::size_t start = replica_index * servers / replica_count;
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

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

  std::size_t servers() const { return servers_.size() - unused_.size(); }

  std::size_t unavailable_servers(double now) const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const ServerNode& s) {
      return s.told.state != ServerState::kRemoved && (s.banned || s.outlier.is_ejected(now));
    }));
  }

  TenantStatistics view(double now, std::size_t tenant) const { return tenants_.at(tenant)->statistics(now); }

 private:
  // Takes settings over: at the start, and when they are replaced. Throws before anything is changed.
  void adopt(const Settings& settings) {
    validate(settings);
    settings_ = settings;
    slow_start_.configure(settings);
    tier_limit_.configure(settings);
    classes_.replace(settings);
    tenants_.replace(settings);
  }

  // ---------------------------------------------------------------- who is there?

  void learn(const Server& told) {
    const auto [it, unknown] = by_address_.try_emplace(told.address, servers_.size());
    if (unknown && !unused_.empty()) {
      it->second = unused_.back();
      unused_.pop_back();
      servers_[it->second] = {};
    } else if (unknown) {
      servers_.emplace_back();
    }
    if (unknown) servers_[it->second].order = stable_hash(told.address);
    ServerNode& s = servers_[it->second];
    if (unknown || told.started != s.told.started || s.told.state == ServerState::kRemoved) forget_process(s);
    const auto ban = banned_.find(told.address);
    s.banned = ban != banned_.end();
    if (s.banned) s.slow_start.on_disabled(ban->second);
    s.told = told;
    s.listed = listing_;
    if (!(s.told.weight > 0)) s.told.weight = 1;
  }

  // Another process: what the last one did says nothing.
  void forget_process(ServerNode& s) {
    ServerNode fresh;
    fresh.told = s.told;
    fresh.order = s.order;
    fresh.listed = s.listed;
    fresh.in_flight = s.in_flight;
    fresh.named = s.named;
    fresh.capacity = ServerConcurrencyLimit(now_);
    fresh.slow_start = s.slow_start;
    fresh.slow_start.begin_incarnation(now_, random_.unit());
    s = fresh;
  }

  // Guards against a list that holds every server there ever was, where new ones come all day. Danger:
  // attempts of open requests name their servers, also those that have ended: their cell binds where the next
  // may go.
  void forget_if_gone(std::size_t at) {
    ServerNode& s = servers_[at];
    if (s.told.state != ServerState::kRemoved || s.named > 0 || s.forgotten) return;
    by_address_.erase(s.told.address);
    s.forgotten = true;
    unused_.push_back(at);
  }

  std::vector<std::size_t> own_part(const std::vector<std::size_t>& from, std::size_t cover) const {
    const std::size_t index = static_cast<std::size_t>(settings_.replica_index);
    const std::size_t count = static_cast<std::size_t>(settings_.replica_count);
    // Danger: a subset of fixed size leaves servers without any caller where copies are few.
    const std::size_t size = std::max(kSubset, (cover * from.size() + count - 1) / count);
    std::vector<std::size_t> out;
    for (const std::size_t at : subset_of(index, count, from.size(), size)) out.push_back(from[at]);
    return out;
  }

  bool is_away(const ServerNode& s) const {
    return settings_.cross_zone_cost > 0 && s.told.zone != settings_.zone;
  }

  void rebuild_subset() {
    ring_.clear();
    double ready_weight = 0, home_weight = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].told.state != ServerState::kReady || servers_[i].banned) continue;
      ring_.push_back(i);
      servers_[i].slow_start.set_traffic_share(0);
      servers_[i].extra = false;
      ready_weight += servers_[i].told.weight;
    }
    std::sort(ring_.begin(), ring_.end(),
              [this](std::size_t a, std::size_t b) { return servers_[a].order < servers_[b].order; });
    const auto away = std::stable_partition(ring_.begin(), ring_.end(),
                                            [this](std::size_t i) { return !is_away(servers_[i]); });
    // Danger: a part over all servers, spent at the few of a subset, leaves a cold one in a large fleet with
    // next to nothing. Beyond the subset it has none: with all copies standing in the sum would be too much.
    subset_ = own_part({ring_.begin(), away}, kColdCover);
    const std::vector<std::size_t> usual = own_part({ring_.begin(), away}, kCover);
    const std::vector<std::size_t> others = own_part({away, ring_.end()}, kCover);
    for (const std::size_t i : subset_) home_weight += servers_[i].told.weight;
    for (const std::size_t i : subset_) {
      servers_[i].slow_start.set_traffic_share(servers_[i].told.weight / home_weight);
    }
    for (const std::size_t i : others) {
      servers_[i].slow_start.set_traffic_share(servers_[i].told.weight / ready_weight);
    }
    for (const std::size_t i : subset_) servers_[i].extra = true;
    for (const std::size_t i : usual) servers_[i].extra = false;
    subset_.insert(subset_.end(), others.begin(), others.end());
    usual_size_ = usual.size() + others.size();
    shape_.members = static_cast<double>(usual_size_);
    shape_.replicas_per_server = std::max(1.0, static_cast<double>(settings_.replica_count) * shape_.members /
                                                   static_cast<double>(ring_.size()));
  }

  // ---------------------------------------------------------------- is it healthy?

  bool has_room(const RequestState& p, const ServerNode& s) const {
    return s.capacity.has_capacity(now_, s.in_flight.count(), tier_limit_.idle_latency_s(), shape_,
                                   p.within_quota);
  }

  void detect_overload(ServerNode& s) {
    if (!tier_limit_.is_first_tier() || !s.capacity.is_measured()) return;
    if (!s.capacity.update_slow() || !tier_limit_.overload_bound().may_drop(now_) || !is_overload()) return;
    const double bound = tier_limit_.overload_bound().drop(now_, tier_limit_.in_flight());
    out_->push_back(LogLine{"overloaded: " + s.told.address +
                            " and others turned slow, in flight limited to " + std::to_string(bound)});
  }

  bool is_overload() const {
    SlowServerCount count;
    for (const std::size_t i : ring_) {
      const ServerNode& s = servers_[i];
      if (s.capacity.is_measured()) count.add(s.capacity.is_slower_than_idle());
    }
    return count.is_overload();
  }

  double warmth(const ServerNode& s) const { return slow_start_.factor(now_, s.slow_start, s.told.started); }

  // ---------------------------------------------------------------- which server?

  // How slow a server is against the usual: by its last answers, or by the age of what it has not answered.
  // Danger: at a call a second, calls in flight tell slow servers from fast ones only once queues are long.
  double pace(const ServerNode& s) const {
    const double learned = 1 + (s.pace.mean - 1) * std::max(0.0, 1 - (now_ - s.paced_at) / kPaceMemory);
    const double waited = s.in_flight.count() == 0 ? 0 : s.in_flight.mean_age(now_) / usual_.mean;
    return std::max({1.0, learned, waited});  // like servers stay a tie, which calls in flight decide
  }

  // Danger: where calls are few all are idle, and one that was put back by hand would lose each draw until it
  // is warm. Its budget bounds what it gets.
  double busyness(const ServerNode& s) const {
    const double warm = s.in_flight.count() == 0 && s.slow_start.was_enabled() ? 1 : warmth(s);
    const double trust = std::pow(1 - std::min(s.outlier.failure_rate(now_), 0.99), kFailPower);
    return (s.in_flight.count() + 1) * pace(s) *
           (is_away(s) ? 1 + kPriceWeight * settings_.cross_zone_cost : 1) / (s.told.weight * warm * trust);
  }

  bool in_scope(const RequestState& p, const ServerNode& s) const {
    return std::all_of(p.attempts.begin(), p.attempts.end(), [&](const AttemptRecord& earlier) {
      return allows_attempt_after(now_, p.rules(), earlier, servers_[earlier.server].told, s.told);
    });
  }

  // Gathers the servers of `from` that may be used; returns whether there are any. Past the first tier room
  // is a wish: a refusal there wastes what was done above.
  bool gather(const std::vector<std::size_t>& from, const RequestState& p, bool healthy, bool untried,
              bool room) {
    choice_.clear();
    for (const std::size_t i : from) {
      ServerNode& s = servers_[i];
      if ((healthy && s.outlier.is_ejected(now_)) || (untried && p.has_tried(i)) || (room && !has_room(p, s)))
        continue;
      if (s.extra && &from == &subset_ && warmth(s) >= 1) continue;
      if (in_scope(p, s) && slow_start_.has_token(now_, s.slow_start, s.told.started)) choice_.push_back(i);
    }
    return !choice_.empty();
  }

  // The less busy of two random members of the subset. Where it has too few that are well, all servers stand
  // in; where none is well the cause is shared and health does not count.
  std::optional<std::size_t> pick(const RequestState& p) {
    if (!tier_limit_.has_capacity(now_, shape_, p.within_quota, random_)) return std::nullopt;
    const bool first_tier = settings_.tier == 0;
    const bool found =
        (gather(subset_, p, true, true, true) && choice_.size() * 2 >= usual_size_) ||
        gather(ring_, p, true, true, true) || (!first_tier && gather(ring_, p, true, true, false)) ||
        gather(ring_, p, false, true, first_tier) || gather(ring_, p, false, false, first_tier);
    if (!found) return std::nullopt;
    std::size_t home = 0;
    while (home < choice_.size() && !is_away(servers_[choice_[home]])) ++home;
    const std::size_t first = random_.below(home > 0 ? home : choice_.size());
    if (choice_.size() == 1) return choice_[first];
    std::size_t second = random_.below(choice_.size() - 1);
    if (second >= first) ++second;
    const std::size_t a = choice_[first], b = choice_[second];
    return busyness(servers_[b]) < busyness(servers_[a]) ? b : a;
  }

  // ---------------------------------------------------------------- doing it

  bool send(const std::string& id, RequestState& p) {
    const double limit = attempt_timeout(now_, p);
    const std::optional<std::size_t> server = limit > 0 ? pick(p) : std::nullopt;
    if (!server) return false;
    ServerNode& s = servers_[*server];
    const std::optional<double> within = retry_send_limit(now_, p);
    p.attempts.empty() ? retry_budget_.on_first_attempt() : retry_budget_.on_retry();
    if (warmth(s) < 1) s.slow_start.take_token();
    s.named += 1;
    p.attempts.push_back({*server, now_});
    // Danger: a body may take seconds to come, or an answer to go. Taken for work the server has in hand, a
    // few of them would take up what the tier may hold, and all others be refused.
    if (!p.body_in_progress) count(p.attempts.back());
    out_->push_back(StartAttempt{id, s.told.address, limit, p.useful_until - now_, within});
    return true;
  }

  void count(AttemptRecord& a) {
    ServerNode& s = servers_[a.server];
    a.in_flight = true;
    a.sent_at = now_;
    s.in_flight.add(now_);
    tier_limit_.add_in_flight();
  }

  void discount(AttemptRecord& a) {
    if (!std::exchange(a.in_flight, false)) return;
    ServerNode& s = servers_[a.server];
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
      servers_[a.server].named -= 1;
      forget_if_gone(a.server);
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
    ServerNode& s = servers_[a.server];
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

  void learn_from(const RequestState& p, ServerNode& s, const AttemptResult& r) {
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
      s.pace.add(latency.mean() > 0 ? std::max(told, r.elapsed) / latency.mean() : 1, kPaceGain);
      s.paced_at = now_;
      usual_.add(told, kLatencyGain);
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
      // Danger: what discovery has while a call hangs counts as told soon: one that hung long leaves less
      // pause.
      const double most = settings_.notification_deadline > 0 ? settings_.notification_deadline / 2 : 5;
      const double pause = std::min(rewatch_, std::max(asked_at_ + kAskApart - now_, kRewatch));
      asked_at_ = now_ + std::min(pause, most) * (0.5 + random_.unit() / 2);
      out_->push_back(SetTimer{asked_at_, ++watch_timer_});
      rewatch_ = std::min(rewatch_ * 2, most);
      return;
    }
    rewatch_ = kRewatch;
    tier_limit_.on_membership(now_);
    ++listing_;
    for (const Server& told : update.servers) learn(told);
    if (update.form == MembershipUpdate::Form::kFull) {
      for (ServerNode& s : servers_) {
        if (s.listed != listing_) s.told.state = ServerState::kRemoved;
      }
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) forget_if_gone(i);
    rebuild_subset();
  }

  // Danger: a server is restarted while it is out, and the list may tell of that late or not at all. Taken
  // for warm it would be pushed over.
  void on(const ServerAdminStateChanged& e) {
    if (!(e.enabled ? banned_.erase(e.address) > 0 : banned_.try_emplace(e.address, now_).second)) return;
    const auto at = by_address_.find(e.address);
    if (at == by_address_.end()) return;
    ServerNode& s = servers_[at->second];
    s.banned = !e.enabled;
    if (!e.enabled) s.slow_start.on_disabled(now_);
    if (e.enabled) {
      s.slow_start.on_enabled(now_);
      forget_process(s);
    }
    rebuild_subset();
  }

  void on(const SettingsReplaced& e) {
    const bool watched = settings_.must_watch;
    adopt(e.settings);
    rewatch_ = kRewatch;  // discovery may be another
    if (settings_.must_watch && !watched) out_->push_back(WatchMembership{});
    rebuild_subset();
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
  Ewma usual_{1, 0, 0};  // s; answer time over all servers and classes
  TierConcurrencyLimit tier_limit_;
  std::vector<ServerNode> servers_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::vector<std::size_t> unused_;                 // places of servers that were forgotten
  std::unordered_map<std::string, double> banned_;  // by hand, listed or not, since when; never walked
  std::vector<std::size_t> ring_, subset_, choice_;
  std::size_t usual_size_ = 0;  // of the subset, without extra members
  SubsetShape shape_;
  SlowStartPolicy slow_start_;
  std::uint64_t listing_ = 0;
  RetryBudget retry_budget_;
  double rewatch_ = kRewatch, asked_at_ = -kInfinity;
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
