/// @file
/// The bound on calls in flight that is learned where servers slow down.
#pragma once

#include "statistics/infinity.h"

namespace nettleyoke {

/// How many calls in flight overload the tier, which nothing advertises: servers that turn slow together show
/// it. The bound drops below what was in flight then and rises again slowly; there is none until servers have
/// slowed down once. Once overloaded, a server stays slow for long and its calls slow down the others, hence
/// a bound in place of waiting for the latency. Knows no servers: whether they are slow is the caller's
/// measure.
class OverloadBound {
 public:
  /// Calls in flight.
  [[nodiscard]] double at(double now) const;
  /// Whether the last drop is long enough ago: servers that turn slow together show a single overload.
  [[nodiscard]] bool may_drop(double now) const;
  /// Drops below the calls in flight, or below the bound where that is less.
  /// @return The new bound.
  double drop(double now, int in_flight);

 private:
  double bound_ = kInfinity;
  double dropped_at_ = -kInfinity;
};

/// Counts how many servers are slower than idle.
class SlowServerCount {
 public:
  /// @param slow Of a server whose idle latency is measured.
  void add(bool slow) {
    ++measured_;
    if (slow) ++slow_;
  }
  /// Whether half of the measured servers or more are slow. One that is slow by itself, for a fault or a
  /// neighbour that takes its resources, says nothing of how many calls the others can hold.
  [[nodiscard]] bool is_overload() const { return 2 * slow_ >= measured_; }

 private:
  int measured_ = 0;
  int slow_ = 0;
};

}  // namespace nettleyoke
