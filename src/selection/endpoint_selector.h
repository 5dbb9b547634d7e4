/// @file
/// Which server gets an attempt.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "attempts/request_state.h"
#include "capacity/concurrency_limits.h"
#include "health/slow_start.h"
#include "membership/locality.h"
#include "membership/server_registry.h"
#include "membership/subsetting.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Picks the server of an attempt: eligible endpoints, then the one with the lower load score of two random
/// ones. Owns the usual latency that servers are compared with; servers, subset, limits and random draws are
/// the caller's and have to outlive it. It sends nothing and changes no server but for the refill of its
/// slow-start token bucket.
class EndpointSelector {
 public:
  EndpointSelector(ServerRegistry& registry, const Subset& subset, const TierConcurrencyLimit& tier_limit,
                   const SlowStartPolicy& slow_start, RandomSource& random)
      : registry_(registry),
        subset_(subset),
        tier_limit_(tier_limit),
        slow_start_(slow_start),
        random_(random) {}

  /// Takes over other settings.
  void configure(const Settings& settings) { locality_ = Locality::of(settings); }

  /// Adds the latency of an attempt, s, to the usual of all servers and classes.
  void record_latency(double latency_s);

  /// Picks the server for the request's next attempt.
  /// @return Its index in the registry; none where the tier or all servers are at their limits.
  [[nodiscard]] std::optional<std::size_t> pick_endpoint(double now, const RequestState& request);

 private:
  /// What an endpoint has to satisfy beside the idempotency rules and its slow-start tokens.
  struct Requirements {
    bool healthy = true;             // not ejected
    bool untried = true;             // no attempt of the request went there
    bool has_capacity = true;        // its concurrency limit allows one more
    bool is_regular_member = false;  // no extra member of the subset that has warmed up
  };

  [[nodiscard]] bool find_eligible(double now, const RequestState& request);
  [[nodiscard]] bool collect_eligible(double now, const std::vector<std::size_t>& endpoints,
                                      const RequestState& request, const Requirements& requirements);
  [[nodiscard]] bool satisfies(double now, std::size_t index, const RequestState& request,
                               const Requirements& requirements) const;
  [[nodiscard]] bool allows_attempt_on(double now, const RequestState& request,
                                       const Server& candidate) const;
  [[nodiscard]] std::size_t pick_of_two(double now);
  [[nodiscard]] double load_score(double now, const ServerRecord& server) const;

  ServerRegistry& registry_;
  const Subset& subset_;
  const TierConcurrencyLimit& tier_limit_;
  const SlowStartPolicy& slow_start_;
  RandomSource& random_;
  Locality locality_;
  Ewma usual_latency_{1, 0, 0};        // s; over all servers and classes
  std::vector<std::size_t> eligible_;  // of the last pick; a member so that a pick allocates nothing
};

}  // namespace nettleyoke
