/// @file
/// Selection of the server for an attempt.
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

/// Picks the server for an attempt: it collects the eligible endpoints and picks the one with the lower load
/// score of two random ones. Owns the mean latency with which servers are compared. The registry, subset,
/// limits and random source belong to the calling code and must outlive the selector. It sends nothing and
/// changes nothing of a server but its slow-start token bucket, which it refills.
class EndpointSelector {
 public:
  EndpointSelector(ServerRegistry& registry, const Subset& subset, const TierConcurrencyLimit& tier_limit,
                   const SlowStartPolicy& slow_start, RandomSource& random)
      : registry_(registry),
        subset_(subset),
        tier_limit_(tier_limit),
        slow_start_(slow_start),
        random_(random) {}

  /// Applies new settings.
  void configure(const Settings& settings) { locality_ = Locality::of(settings); }

  /// Adds the latency of an attempt, s, to the mean over all servers and classes.
  void record_latency(double latency_s);

  /// Whether any endpoint could get an attempt now. Draws no random number.
  [[nodiscard]] bool has_eligible(double now, const RequestState& request) {
    return find_eligible(now, request);
  }
  /// Picks the server for the request's next attempt.
  /// @return Its index in the registry; empty if the tier is at its limit or no server is eligible.
  [[nodiscard]] std::optional<std::size_t> pick_endpoint(double now, const RequestState& request);

 private:
  /// What an endpoint must satisfy in addition to the idempotency rules and its slow-start tokens.
  struct Requirements {
    bool healthy = true;             // not ejected
    bool untried = true;             // no attempt of the request was sent to it
    bool has_capacity = true;        // its concurrency limit allows one more attempt
    bool is_regular_member = false;  // not an extra member that has warmed up
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
  Ewma mean_latency_{1, 0, 0};         // s; over all servers and classes
  std::vector<std::size_t> eligible_;  // of the last pick; a member to avoid an allocation per pick
};

}  // namespace nettleyoke
