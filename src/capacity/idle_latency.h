/// @file
/// Idle latency: the latency of servers without queues.
#pragma once

#include "statistics/ewma.h"

namespace nettleyoke {

/// Learns the idle latency of a server or a tier as a fraction of the latency objective. It falls fast and
/// rises slowly, so that the latency of queues is not learned as idle latency. Owns the estimate; takes no
/// decisions.
class IdleLatency {
 public:
  /// @param latency_ratio Latency of one response, as a fraction of the latency objective.
  void add(double now, double latency_ratio);

  /// Idle latency as a fraction of the latency objective; an assumed value until it is learned.
  [[nodiscard]] double ratio() const { return ratio_; }

  /// Whether enough responses have arrived. The first responses after a start are those of the quickest
  /// requests: a limit learned from them would leave most of the tier's capacity unused.
  [[nodiscard]] bool is_learned() const { return learned_; }

 private:
  // Assumed until the idle latency is learned.
  static constexpr double kInitialRatio = 0.15;

  Ewma average_;
  double ratio_ = kInitialRatio;
  double updated_at_ = 0;
  bool learned_ = false;
};

}  // namespace nettleyoke
