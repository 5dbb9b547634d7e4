/// @file
/// The latency of servers without queues.
#pragma once

#include "statistics/ewma.h"

namespace nettleyoke {

/// Learns the idle latency of a server or a tier as a part of the latency objective. It falls soon and rises
/// slowly, so that queues do not pass for the usual. Owns what it has learned; takes no decision.
class IdleLatency {
 public:
  /// @param latency_ratio Latency of one response, as a part of the latency objective.
  void add(double now, double latency_ratio);

  /// As a part of the latency objective; an assumption until it is learned.
  [[nodiscard]] double ratio() const { return ratio_; }

  /// Whether enough responses were seen. The first responses after a start are those of the quickest calls: a
  /// limit learned from them would starve the tier.
  [[nodiscard]] bool is_learned() const { return learned_; }

 private:
  // Assumed until it is learned.
  static constexpr double kInitialRatio = 0.15;

  Ewma average_;
  double ratio_ = kInitialRatio;
  double updated_at_ = 0;
  bool learned_ = false;
};

}  // namespace nettleyoke
