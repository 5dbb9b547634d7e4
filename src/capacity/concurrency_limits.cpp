#include "capacity/concurrency_limits.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// A server gets no further attempt if, at its response rate, it needs longer than this multiple of the idle
// latency to respond to the attempts in flight.
constexpr double kServerQueueFactor = 1.5;
// The same multiple for the whole tier, whose measurements vary less.
constexpr double kTierQueueFactor = 1.8;

// Recent latencies as fractions of the objective: up to kCalmLatencyRatio the burst allowance is full, from
// kBusyLatencyRatio on it is 0.
constexpr double kCalmLatencyRatio = 0.45;
constexpr double kBusyLatencyRatio = 0.7;
// The burst allowance for random variation: attempts in flight, plus standard deviations of their number.
constexpr double kBurstAttempts = 2;
constexpr double kBurstDeviations = 1.5;

// Multiple of the limit for requests within their tenant's quota.
constexpr double kWithinQuotaFactor = 1.3;
// Attempts in flight, over all replicas, for which every server has capacity.
constexpr double kMinServerAttempts = 2;
// Additional attempts at a server that has had no time to respond; the number decays with time.
constexpr double kUnmeasuredServerAttempts = 6;

// Weight of one response in the recent latency.
constexpr double kRecentGain = 0.15;
// Weight of one request in the mean latency objective.
constexpr double kObjectiveGain = 0.05;

// Multiples of a server's own idle latency: above kSlowFactor the server turns slow, and it stays slow until
// its recent latency is at most kRecoveredFactor.
constexpr double kSlowFactor = 2.2;
constexpr double kRecoveredFactor = 1.3;
// Upper bound of the latency recorded for a single response, as a multiple of the idle latency.
constexpr double kMaxLatencyFactor = 3;

// Allowed attempts in flight at one server, over all replicas, without any measurement.
double unmeasured_limit(double now, double first_seen_at) {
  return kMinServerAttempts +
         kUnmeasuredServerAttempts * std::exp((first_seen_at - now) / kResponseRateSeconds);
}

double quota_factor(bool within_quota) { return within_quota ? kWithinQuotaFactor : 1; }

}  // namespace

void ServerConcurrencyLimit::record_response(double now, double latency_ratio) {
  response_rate_.add(now);
  idle_.add(now, latency_ratio);
}

// A single response can take almost as long as its timeout, because the server or a tier behind it did not
// respond for a while. Without the bound, one such response would make the server count as slow.
void ServerConcurrencyLimit::record_recent_latency(double latency_ratio) {
  recent_.add(idle_.is_learned() ? std::min(latency_ratio, kMaxLatencyFactor * idle_.ratio()) : latency_ratio,
              kRecentGain);
}

bool ServerConcurrencyLimit::has_capacity(double now, int in_flight, double tier_idle_latency_s,
                                          const SubsetShape& subset, bool within_quota) const {
  const double unmeasured = unmeasured_limit(now, first_seen_at_) / subset.replicas_per_server;
  const double limit = unmeasured + kServerQueueFactor * tier_idle_latency_s * response_rate_.at(now);
  return in_flight < std::max(1.0, limit * quota_factor(within_quota));
}

bool ServerConcurrencyLimit::is_slower_than_idle() const {
  return recent_.mean > kRecoveredFactor * idle_.ratio();
}

bool ServerConcurrencyLimit::update_slow_state() {
  const bool was_slow = slow_;
  slow_ = recent_.mean > (was_slow ? kRecoveredFactor : kSlowFactor) * idle_.ratio();
  return slow_ && !was_slow;
}

void TierConcurrencyLimit::record_objective(double objective_s) {
  objective_.add(objective_s, kObjectiveGain);
}

void TierConcurrencyLimit::record_membership_update(double now) {
  first_update_at_ = std::min(first_update_at_, now);
}

void TierConcurrencyLimit::record_response(double now, double latency_ratio) {
  response_rate_.add(now);
  idle_.add(now, latency_ratio);
}

void TierConcurrencyLimit::record_recent_latency(double latency_ratio) {
  recent_.add(latency_ratio, kRecentGain);
}

bool TierConcurrencyLimit::has_capacity(double now, const SubsetShape& subset, bool within_quota,
                                        RandomSource& random) const {
  if (!is_first_tier()) return true;
  const double unmeasured =
      unmeasured_limit(now, first_update_at_) * subset.members / subset.replicas_per_server;
  const double idle_in_flight = idle_latency_s() * response_rate_.at(now);
  // Each replica needs an allowance for bursts, but the sum of all replicas' allowances would overload the
  // tier. It therefore shrinks to 0 as the recent latency rises.
  const double calm =
      std::clamp((kBusyLatencyRatio - recent_.mean) / (kBusyLatencyRatio - kCalmLatencyRatio), 0.0, 1.0);
  const double burst_allowance = kBurstAttempts + kBurstDeviations * std::sqrt(idle_in_flight);
  const double limit = unmeasured + kTierQueueFactor * idle_in_flight + calm * burst_allowance;
  return in_flight_ + random.unit() < std::min(overload_bound_.at(now), limit) * quota_factor(within_quota);
}

}  // namespace nettleyoke
