/// @file
/// Adaptive concurrency limits: how many calls may be in flight at one server and at all servers of the tier.
#pragma once

#include "capacity/idle_latency.h"
#include "capacity/overload_bound.h"
#include "nettleyoke/settings.h"
#include "statistics/decaying_rate.h"
#include "statistics/ewma.h"
#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Seconds over which the rate of answers is smoothed, and over which the allowance for a server that has had
/// no time to answer fades.
constexpr double kAnswerRateSeconds = 2;

/// What a replica needs to know of the subset when it derives its limits.
struct SubsetShape {
  double members = 0;              ///< Servers in the replica's subset, without extra members.
  double replicas_per_server = 1;  ///< How many replicas use the same server, 1 at least.
};

/// The concurrency limit of one server. Owns what was measured of this server: its rate of answers, idle and
/// recent latency, and whether it is slow. Latencies are parts of the latency objective.
class ServerConcurrencyLimit {
 public:
  ServerConcurrencyLimit() = default;
  /// @param first_seen_at When the server's process was first notified of.
  explicit ServerConcurrencyLimit(double first_seen_at) : first_seen_at_(first_seen_at) {}

  /// Counts a response.
  void record_response(double now, double latency_ratio);
  /// Adds a response to the recent latency.
  void record_recent_latency(double latency_ratio);

  /// Whether a further call would be answered well before its objective: calls in flight against answers per
  /// second. A queue longer than the objective would feed itself. One call always has capacity, because each
  /// of many replicas has only a part of it.
  /// @param tier_idle_latency_s Of the tier, s.
  [[nodiscard]] bool has_capacity(double now, int in_flight, double tier_idle_latency_s,
                                  const SubsetShape& subset, bool within_quota) const;

  /// Whether its idle latency is learned.
  [[nodiscard]] bool is_measured() const { return idle_.is_learned(); }
  /// Whether its recent latency is above what counts as recovered.
  [[nodiscard]] bool is_slower_than_idle() const;
  /// Updates whether it is slow, with hysteresis.
  /// @return Whether it has turned slow just now.
  [[nodiscard]] bool update_slow();

 private:
  DecayingRate answer_rate_{kAnswerRateSeconds};
  IdleLatency idle_;
  Ewma recent_;
  bool slow_ = false;
  double first_seen_at_ = 0;
};

/// The concurrency limit of all servers of the tier together, as this replica sees them. It has a steadier
/// measure than one server's. Owns the number of calls in flight, the tier's latencies and the overload
/// bound; knows no server by itself.
class TierConcurrencyLimit {
 public:
  /// Takes over other settings; what was measured stays.
  void configure(const Settings& settings) { tier_ = settings.tier; }

  /// The latency objective of a class that is configured.
  void assume_objective(double objective_s) { objective_.add(objective_s, 0); }
  /// The latency objective of a request that was admitted.
  void record_objective(double objective_s);
  /// The endpoint list has arrived.
  void on_membership(double now);

  void add_in_flight() { in_flight_ += 1; }
  void remove_in_flight() { in_flight_ -= 1; }
  [[nodiscard]] int in_flight() const { return in_flight_; }

  /// Counts a response.
  void record_response(double now, double latency_ratio);
  /// Adds a response, or an attempt that timed out, to the recent latency.
  void record_recent_latency(double latency_ratio);

  /// Latency without queues, s.
  [[nodiscard]] double idle_latency_s() const { return idle_.ratio() * objective_.mean; }

  /// Whether a further call has capacity. Past the first tier it always has: a rejection there wastes the
  /// work that was done above.
  /// @param random One draw is taken in the first tier, none past it.
  [[nodiscard]] bool has_capacity(double now, const SubsetShape& subset, bool within_quota,
                                  RandomSource& random) const;

  /// Only the first tier learns an overload bound.
  [[nodiscard]] bool is_first_tier() const { return tier_ == 0; }
  [[nodiscard]] OverloadBound& overload_bound() { return overload_bound_; }

 private:
  int tier_ = 0;
  Ewma objective_;  // s; of the requests that come
  IdleLatency idle_;
  Ewma recent_;  // as a part of the latency objective
  DecayingRate answer_rate_{kAnswerRateSeconds};
  double first_member_at_ = kInfinity;
  int in_flight_ = 0;
  OverloadBound overload_bound_;
};

}  // namespace nettleyoke
