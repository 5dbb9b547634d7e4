/// @file
/// Adaptive concurrency limits: how many attempts may be in flight at one server and in the whole tier.
#pragma once

#include "capacity/idle_latency.h"
#include "capacity/overload_bound.h"
#include "nettleyoke/settings.h"
#include "statistics/decaying_rate.h"
#include "statistics/ewma.h"
#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Time constant of the response rate, and of the decay of the allowance for a server that has had no time to
/// respond.
constexpr double kResponseRateSeconds = 2;

/// The properties of the subset from which a replica derives its limits.
struct SubsetShape {
  double members = 0;              ///< Size of the replica's subset without extra members.
  double replicas_per_server = 1;  ///< Number of replicas that use the same server, at least 1.
};

/// The concurrency limit of one server. Owns the measurements of this server: its response rate, its idle and
/// recent latency, and whether it is slow. Latencies are fractions of the latency objective.
class ServerConcurrencyLimit {
 public:
  ServerConcurrencyLimit() = default;
  /// @param first_seen_at When discovery first reported the server's process, s.
  explicit ServerConcurrencyLimit(double first_seen_at) : first_seen_at_(first_seen_at) {}

  /// Adds a response to the response rate and the idle latency.
  void record_response(double now, double latency_ratio);
  /// Adds a response to the recent latency.
  void record_recent_latency(double latency_ratio);

  /// Whether a further attempt would get its response well before the objective, judged by the attempts in
  /// flight and the response rate. A queue longer than the objective would sustain itself. One attempt in
  /// flight is always allowed: with many replicas, a replica's share of the server's capacity may be less
  /// than one attempt.
  /// @param tier_idle_latency_s Idle latency of the tier, s.
  [[nodiscard]] bool has_capacity(double now, int in_flight, double tier_idle_latency_s,
                                  const SubsetShape& subset, bool within_quota) const;

  /// Whether the idle latency is learned.
  [[nodiscard]] bool is_measured() const { return idle_.is_learned(); }
  /// Whether the recent latency is higher than that of a recovered server.
  [[nodiscard]] bool is_slower_than_idle() const;
  /// Updates whether the server is slow, with hysteresis.
  /// @return Whether it has just turned slow.
  [[nodiscard]] bool update_slow_state();

 private:
  DecayingRate response_rate_{kResponseRateSeconds};
  IdleLatency idle_;
  Ewma recent_;
  bool slow_ = false;
  double first_seen_at_ = 0;
};

/// The concurrency limit of the whole tier, as measured by this replica. Its measurements vary less than
/// those of one server. Owns the number of attempts in flight, the tier's latencies and the overload bound.
/// Does not distinguish servers.
class TierConcurrencyLimit {
 public:
  /// Applies new settings; the measurements stay.
  void configure(const Settings& settings) { tier_ = settings.tier; }

  /// Adds the latency objective, s, of a configured class to the initial mean objective.
  void add_configured_objective(double objective_s) { objective_.add(objective_s, 0); }
  /// Adds the latency objective, s, of an admitted request to the mean objective.
  void record_objective(double objective_s);
  /// Records the time at which an endpoint list or a change of it arrived; only the first time counts.
  void record_membership_update(double now);

  void add_in_flight() { in_flight_ += 1; }
  void remove_in_flight() { in_flight_ -= 1; }
  [[nodiscard]] int in_flight() const { return in_flight_; }

  /// Adds a response to the response rate and the idle latency.
  void record_response(double now, double latency_ratio);
  /// Adds a response, or an attempt that timed out, to the recent latency.
  void record_recent_latency(double latency_ratio);

  /// Idle latency, s.
  [[nodiscard]] double idle_latency_s() const { return idle_.ratio() * objective_.mean; }

  /// Whether the tier has capacity for a further attempt. Always true behind the first tier, where a
  /// rejection would waste the work that the tiers before it have done.
  /// @param random One draw is taken in the first tier, none behind it.
  [[nodiscard]] bool has_capacity(double now, const SubsetShape& subset, bool within_quota,
                                  RandomSource& random) const;

  /// Only the first tier learns an overload bound.
  [[nodiscard]] bool is_first_tier() const { return tier_ == 0; }
  [[nodiscard]] OverloadBound& overload_bound() { return overload_bound_; }

 private:
  int tier_ = 0;
  Ewma objective_;  // mean over the admitted requests, s
  IdleLatency idle_;
  Ewma recent_;  // latency as a fraction of the latency objective
  DecayingRate response_rate_{kResponseRateSeconds};
  double first_update_at_ = kInfinity;
  int in_flight_ = 0;
  OverloadBound overload_bound_;
};

}  // namespace nettleyoke
