/// @file
/// Slow start: how much a server that has just started may be sent.
#pragma once

#include "nettleyoke/settings.h"
#include "statistics/decaying_rate.h"
#include "statistics/infinity.h"

namespace nettleyoke {

/// The slow start of one server: its token bucket, and when operators last disabled and enabled it.
class SlowStart {
 public:
  /// Another process runs at the server's address: its bucket starts again.
  /// @param tokens What is in it at first, 0 to 1. Replicas are notified of a start together and must not
  /// send together, so that each starts with another part of a token.
  void begin_incarnation(double now, double tokens);

  /// Operators have disabled the server.
  void on_disabled(double now) { disabled_at_ = now; }
  /// Operators have enabled the server again.
  void on_enabled(double now) { enabled_at_ = now; }
  /// Whether operators have ever enabled it again after disabling it.
  [[nodiscard]] bool was_enabled() const { return enabled_at_ > -kInfinity; }

  /// @param share The server's part of this replica's traffic, 0 to 1; 0 where it has no part in it.
  void set_traffic_share(double share) { traffic_share_ = share; }

  /// Spends the token for one attempt.
  void take_token() { tokens_ -= 1; }

 private:
  friend class SlowStartPolicy;

  double traffic_share_ = 0;
  double tokens_ = 0;
  double refilled_at_ = 0;
  double disabled_at_ = -kInfinity;
  double enabled_at_ = -kInfinity;
};

/// The settings of slow start and the rate of admitted requests that sizes the token buckets; common to all
/// servers of a replica.
class SlowStartPolicy {
 public:
  /// Takes over other settings; the admitted rate stays.
  void configure(const Settings& settings);

  /// Counts an admitted request.
  void record_admitted(double now) { admitted_rate_.add(now); }

  /// The slow-start factor: the part of its full capacity that a server is sure to have by now, 0 to 1.
  /// @param started When it last started as advertised, s; 0: long ago.
  [[nodiscard]] double factor(double now, const SlowStart& server, double started) const {
    const bool started_long_ago = started == 0 && !server.was_enabled();
    return started_long_ago || duration_s_ <= 0 ? 1 : warming_factor(now, server, started);
  }

  /// Refills the token bucket of a server that is warming up and says whether it holds a token. All replicas
  /// together can overload such a server; each spends no more than the server's share of its own traffic,
  /// scaled by the slow-start factor.
  [[nodiscard]] bool has_token(double now, SlowStart& server, double started) const;

 private:
  [[nodiscard]] double warming_factor(double now, const SlowStart& server, double started) const;

  double initial_capacity_ = 1;
  double duration_s_ = 0;
  double max_traffic_factor_ = 1;  // of a server's share of the traffic
  DecayingRate admitted_rate_{kAdmittedRateSeconds};

  // Smoothing of the admitted rate.
  static constexpr double kAdmittedRateSeconds = 5;
};

}  // namespace nettleyoke
