#include "selection/endpoint_selector.h"

#include <algorithm>
#include <cmath>

#include "attempts/idempotency_rules.h"

namespace nettleyoke {
namespace {

// Weight of one attempt in the usual latency.
constexpr double kUsualLatencyGain = 0.05;
// How strongly failures raise the load score, and the failure rate that they do so for at most.
constexpr double kFailureExponent = 4;
constexpr double kMaxFailureRate = 0.99;
// A cross-zone cost of 0.01 raises the load score by half.
constexpr double kScorePerCrossZoneCost = 50;

}  // namespace

void EndpointSelector::record_latency(double latency_s) { usual_latency_.add(latency_s, kUsualLatencyGain); }

std::optional<std::size_t> EndpointSelector::pick_endpoint(double now, const RequestState& request) {
  if (!tier_limit_.has_capacity(now, subset_.shape(), request.within_quota, random_)) return std::nullopt;
  if (!find_eligible(now, request)) return std::nullopt;
  return pick_of_two(now);
}

// Where the subset has too few eligible members, all servers stand in; where none is healthy the cause is
// shared and health does not count. Past the first tier capacity is a preference: a rejection there wastes
// the work that was done above.
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
  const bool is_spare_extra = requirements.is_regular_member && server.is_subset_extra &&
                              slow_start_.factor(now, server.slow_start, server.advertised.started) >= 1;
  return !is_spare_extra;
}

bool EndpointSelector::allows_attempt_on(double now, const RequestState& request,
                                         const Server& candidate) const {
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const AttemptRecord& earlier) {
    return allows_attempt_after(now, request.rules(), earlier, registry_[earlier.server].advertised,
                                candidate);
  });
}

// Power of two choices: the first of the local zone, if any, the second any other.
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

// Where calls are few all servers are idle, and one that operators have enabled again would lose each choice
// until it has warmed up, if the slow-start factor counted. Its token bucket bounds what it gets.
double EndpointSelector::load_score(double now, const ServerRecord& server) const {
  const bool is_idle_and_enabled_again = server.in_flight.count() == 0 && server.slow_start.was_enabled();
  const double slow_start_factor =
      is_idle_and_enabled_again ? 1 : slow_start_.factor(now, server.slow_start, server.advertised.started);
  const double failure_rate = std::min(server.outlier.failure_rate(now), kMaxFailureRate);
  const double trust = std::pow(1 - failure_rate, kFailureExponent);
  const double latency = server.relative_latency.at(now, server.in_flight, usual_latency_.mean);
  const double zone_factor =
      locality_.is_remote(server.advertised) ? 1 + kScorePerCrossZoneCost * locality_.cross_zone_cost : 1;
  return (server.in_flight.count() + 1) * latency * zone_factor /
         (server.advertised.weight * slow_start_factor * trust);
}

}  // namespace nettleyoke
