#include "capacity/concurrency_limits.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// Multiple of the idle latency that calls in flight may take to be answered; longer queues get no call.
constexpr double kServerQueueFactor = 1.5;
// The same for all servers together, whose measure is steadier.
constexpr double kTierQueueFactor = 1.8;

// Recent latencies as parts of the objective: up to the first the allowance for chance is full, from the
// second on there is none.
constexpr double kCalmLatency = 0.45;
constexpr double kBusyLatency = 0.7;
// Calls that a replica may have in flight by chance, beside the deviations of their number.
constexpr double kChanceCalls = 2;
constexpr double kChanceDeviations = 1.5;

// Multiple of the limit for calls within their tenant's quota.
constexpr double kWithinQuotaFactor = 1.3;
// Calls in flight, over all replicas, that any server has capacity for.
constexpr double kMinServerCalls = 2;
// And more at a server that has had no time to answer; it fades as answers come.
constexpr double kUnmeasuredServerCalls = 6;

// Weight of one response in the recent latency.
constexpr double kRecentGain = 0.15;
// Weight of one request in the mean latency objective.
constexpr double kObjectiveGain = 0.05;

// Multiples of a server's own idle latency: from the first on it has turned slow, below the second it has
// recovered.
constexpr double kSlowFactor = 2.2;
constexpr double kRecoveredFactor = 1.3;
// The most that a single response says.
constexpr double kMaxLatencyFactor = 3;

// Calls that may be in flight, over all replicas, where nothing is measured yet.
double unmeasured_limit(double now, double first_seen_at) {
  return kMinServerCalls + kUnmeasuredServerCalls * std::exp((first_seen_at - now) / kAnswerRateSeconds);
}

double quota_factor(bool within_quota) { return within_quota ? kWithinQuotaFactor : 1; }

}  // namespace

void ServerConcurrencyLimit::record_response(double now, double latency_ratio) {
  answer_rate_.add(now);
  idle_.add(now, latency_ratio);
}

// A call that was not answered, by the server or by a tier behind it, lasts as long as it may. Without the
// bound, one such call would make a server look as if it had turned slow.
void ServerConcurrencyLimit::record_recent_latency(double latency_ratio) {
  recent_.add(idle_.is_learned() ? std::min(latency_ratio, kMaxLatencyFactor * idle_.ratio()) : latency_ratio,
              kRecentGain);
}

bool ServerConcurrencyLimit::has_capacity(double now, int in_flight, double tier_idle_latency_s,
                                          const SubsetShape& subset, bool within_quota) const {
  const double unmeasured = unmeasured_limit(now, first_seen_at_) / subset.replicas_per_server;
  const double limit = unmeasured + kServerQueueFactor * tier_idle_latency_s * answer_rate_.at(now);
  return in_flight < std::max(1.0, limit * quota_factor(within_quota));
}

bool ServerConcurrencyLimit::is_slower_than_idle() const {
  return recent_.mean > kRecoveredFactor * idle_.ratio();
}

bool ServerConcurrencyLimit::update_slow() {
  const bool was_slow = slow_;
  slow_ = recent_.mean > (was_slow ? kRecoveredFactor : kSlowFactor) * idle_.ratio();
  return slow_ && !was_slow;
}

void TierConcurrencyLimit::record_objective(double objective_s) {
  objective_.add(objective_s, kObjectiveGain);
}

void TierConcurrencyLimit::on_membership(double now) { first_member_at_ = std::min(first_member_at_, now); }

void TierConcurrencyLimit::record_response(double now, double latency_ratio) {
  answer_rate_.add(now);
  idle_.add(now, latency_ratio);
}

void TierConcurrencyLimit::record_recent_latency(double latency_ratio) {
  recent_.add(latency_ratio, kRecentGain);
}

bool TierConcurrencyLimit::has_capacity(double now, const SubsetShape& subset, bool within_quota,
                                        RandomSource& random) const {
  if (!is_first_tier()) return true;
  const double unmeasured =
      unmeasured_limit(now, first_member_at_) * subset.members / subset.replicas_per_server;
  const double idle_calls = idle_latency_s() * answer_rate_.at(now);
  // What chance needs at each of many replicas is an overload over all of them: it is allowed in calm only.
  const double calm = std::clamp((kBusyLatency - recent_.mean) / (kBusyLatency - kCalmLatency), 0.0, 1.0);
  const double chance = kChanceCalls + kChanceDeviations * std::sqrt(idle_calls);
  const double limit = unmeasured + kTierQueueFactor * idle_calls + calm * chance;
  return in_flight_ + random.unit() < std::min(overload_bound_.at(now), limit) * quota_factor(within_quota);
}

}  // namespace nettleyoke
