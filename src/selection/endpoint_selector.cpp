#include "selection/endpoint_selector.h"

#include <algorithm>
#include <cmath>

#include "attempts/idempotency_rules.h"

namespace nettleyoke {
namespace {

// Weight of one attempt in the mean latency.
constexpr double kMeanLatencyGain = 0.05;
// How strongly failures raise the load score, and the failure rate above which they raise it no further.
constexpr double kFailureExponent = 4;
constexpr double kMaxFailureRate = 0.99;
// A cross-zone cost of 0.01 raises the load score by half.
constexpr double kScorePerCrossZoneCost = 50;

}  // namespace

void EndpointSelector::record_latency(double latency_s) { mean_latency_.add(latency_s, kMeanLatencyGain); }

std::optional<std::size_t> EndpointSelector::pick_endpoint(double now, const RequestState& request) {
  if (!tier_limit_.has_capacity(now, subset_.shape(), request.within_quota, random_)) return std::nullopt;
  if (!find_eligible(now, request)) return std::nullopt;
  return pick_of_two(now);
}

// If too few members of the subset are eligible, all servers are considered. If no server is healthy, the
// failures have a common cause, and health is ignored. Behind the first tier capacity is only a preference,
// because a rejection would waste the work that the tiers before it have done.
bool EndpointSelector::find_eligible(double now, const RequestState& request) {
  const bool first_tier = tier_limit_.is_first_tier();
  const std::vector<std::size_t>& all = subset_.all();
  if (collect_eligible(now, subset_.members(), request, {.is_regular_member = true}) &&
      eligible_.size() * 2 >= subset_.regular_size()) {
    return true;
  }
  if (collect_eligible(now, all, request, {})) return true;
  if (!first_tier && collect_eligible(now, all, request, {.has_capacity = false})) return true;
  if (collect_eligible(now, all, request, {.healthy = false, .has_capacity = first_tier})) return true;
  return collect_eligible(now, all, request,
                          {.healthy = false, .untried = false, .has_capacity = first_tier});
}

// Returns whether any endpoint is eligible.
bool EndpointSelector::collect_eligible(double now, const std::vector<std::size_t>& endpoints,
                                        const RequestState& request, const Requirements& requirements) {
  eligible_.clear();
  for (const std::size_t index : endpoints) {
    ServerRecord& server = registry_[index];
    if (!satisfies(now, index, request, requirements)) continue;
    if (!allows_attempt_on(now, request, server.advertised)) continue;
    if (slow_start_.has_token(now, server.slow_start, server.advertised.started)) eligible_.push_back(index);
  }
  return !eligible_.empty();
}

bool EndpointSelector::satisfies(double now, std::size_t index, const RequestState& request,
                                 const Requirements& requirements) const {
  const ServerRecord& server = registry_[index];
  if (requirements.healthy && server.outlier.is_ejected(now)) return false;
  if (requirements.untried && request.has_tried(index)) return false;
  if (requirements.has_capacity &&
      !server.capacity.has_capacity(now, server.in_flight.count(), tier_limit_.idle_latency_s(),
                                    subset_.shape(), request.within_quota)) {
    return false;
  }
  const bool is_warm_extra = requirements.is_regular_member && server.is_subset_extra &&
                             slow_start_.factor(now, server.slow_start, server.advertised.started) >= 1;
  return !is_warm_extra;
}

bool EndpointSelector::allows_attempt_on(double now, const RequestState& request,
                                         const Server& candidate) const {
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const AttemptRecord& earlier) {
    return allows_attempt_after(now, request.class_settings(), earlier, registry_[earlier.server].advertised,
                                candidate);
  });
}

// Power of two choices: the first endpoint is in the local zone if possible, the second is any other.
std::size_t EndpointSelector::pick_of_two(double now) {
  const auto first_remote = std::find_if(eligible_.begin(), eligible_.end(), [&](std::size_t index) {
    return locality_.is_remote(registry_[index].advertised);
  });
  const auto local_count = static_cast<std::size_t>(first_remote - eligible_.begin());
  const std::size_t first = random_.below(local_count > 0 ? local_count : eligible_.size());
  if (eligible_.size() == 1) return eligible_[first];
  std::size_t second = random_.below(eligible_.size() - 1);
  if (second >= first) ++second;
  const double first_score = load_score(now, registry_[eligible_[first]]);
  const double second_score = load_score(now, registry_[eligible_[second]]);
  return second_score < first_score ? eligible_[second] : eligible_[first];
}

// The slow-start factor does not count for an idle server that was enabled again. With little traffic all
// servers are idle, and such a server would never be picked until it has warmed up. Its token bucket limits
// its traffic.
double EndpointSelector::load_score(double now, const ServerRecord& server) const {
  const bool is_idle_and_reenabled = server.in_flight.count() == 0 && server.slow_start.was_reenabled();
  const double slow_start_factor =
      is_idle_and_reenabled ? 1 : slow_start_.factor(now, server.slow_start, server.advertised.started);
  const double failure_rate = std::min(server.outlier.failure_rate(now), kMaxFailureRate);
  const double health_factor = std::pow(1 - failure_rate, kFailureExponent);
  const double latency = server.relative_latency.at(now, server.in_flight, mean_latency_.mean);
  const double zone_factor =
      locality_.is_remote(server.advertised) ? 1 + kScorePerCrossZoneCost * locality_.cross_zone_cost : 1;
  return (server.in_flight.count() + 1) * latency * zone_factor /
         (server.advertised.weight * slow_start_factor * health_factor);
}

}  // namespace nettleyoke
