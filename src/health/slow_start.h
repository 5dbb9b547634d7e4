/// @file
/// Slow start: how many attempts may be sent to a server that has just started.
#pragma once

#include "nettleyoke/settings.h"
#include "statistics/decaying_rate.h"
#include "statistics/infinity.h"

namespace nettleyoke {

/// The slow start of one server: its token bucket, and when an operator last disabled and enabled it.
class SlowStart {
 public:
  /// Resets the bucket for a new process at the server's address.
  /// @param tokens Initial content, 0 to 1. All replicas are notified of the start at the same time;
  /// different initial contents keep them from sending their first attempts at the same time.
  void begin_incarnation(double now, double tokens);

  /// Records that an operator has disabled the server.
  void on_disabled(double now) { disabled_at_ = now; }
  /// Records that an operator has enabled the server again.
  void on_enabled(double now) { enabled_at_ = now; }
  /// Whether an operator has ever disabled the server and enabled it again.
  [[nodiscard]] bool was_reenabled() const { return enabled_at_ > -kInfinity; }

  /// @param share The server's fraction of this replica's traffic, 0 to 1; 0 outside the subset.
  void set_traffic_share(double share) { traffic_share_ = share; }

  /// Takes the token for one attempt.
  void take_token() { tokens_ -= 1; }

 private:
  friend class SlowStartPolicy;

  double traffic_share_ = 0;
  double tokens_ = 0;
  double refilled_at_ = 0;
  double disabled_at_ = -kInfinity;
  double enabled_at_ = -kInfinity;
};

/// The slow-start settings and the rate of admitted requests from which the token buckets are refilled.
/// Shared by all servers of a replica.
class SlowStartPolicy {
 public:
  /// Applies new settings; the admitted rate stays.
  void configure(const Settings& settings);

  /// Counts an admitted request.
  void record_admitted(double now) { admitted_rate_.add(now); }

  /// The slow-start factor: the least fraction of its full capacity that a server has by now, 0 to 1.
  /// @param started When the server last started according to discovery, s; 0: long ago.
  [[nodiscard]] double factor(double now, const SlowStart& server, double started) const {
    const bool started_long_ago = started == 0 && !server.was_reenabled();
    return started_long_ago || duration_s_ <= 0 ? 1 : warming_factor(now, server, started);
  }

  /// Refills the token bucket of a server that is warming up and returns whether it holds a token; true for
  /// any other server. Without the bucket, all replicas together could overload such a server. Each replica
  /// sends it no more than the server's share of the replica's traffic, scaled by the slow-start factor.
  [[nodiscard]] bool has_token(double now, SlowStart& server, double started) const;

 private:
  [[nodiscard]] double warming_factor(double now, const SlowStart& server, double started) const;

  double initial_capacity_ = 1;
  double duration_s_ = 0;
  double max_traffic_factor_ = 1;  // multiple of a server's share of the traffic
  DecayingRate admitted_rate_{kAdmittedRateSeconds};

  // Time constant of the admitted rate.
  static constexpr double kAdmittedRateSeconds = 5;
};

}  // namespace nettleyoke
