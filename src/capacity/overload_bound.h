/// @file
/// The bound on attempts in flight that is learned when servers turn slow together.
#pragma once

#include "statistics/infinity.h"

namespace nettleyoke {

/// The number of attempts in flight that the tier can process. It is not configured: it is learned when
/// servers turn slow together. The bound is then lowered below the attempts in flight and rises again slowly;
/// there is no bound before the first overload. A reaction to latency alone would be too late, because an
/// overloaded server stays slow for long and its requests slow down the other servers. The calling code
/// decides whether servers are slow.
class OverloadBound {
 public:
  /// Highest allowed number of attempts in flight.
  [[nodiscard]] double at(double now) const;
  /// Whether the last reduction is long enough ago: servers that turn slow together indicate a single
  /// overload.
  [[nodiscard]] bool may_lower(double now) const;
  /// Lowers the bound below the attempts in flight, or below the current bound if that is less.
  /// @return The new bound.
  double lower(double now, int in_flight);

 private:
  double bound_ = kInfinity;
  double lowered_at_ = -kInfinity;
};

/// Counts the measured servers and those of them that are slow.
class SlowServerCount {
 public:
  /// Adds a server whose idle latency is learned.
  void add(bool slow) {
    ++measured_;
    if (slow) ++slow_;
  }
  /// Whether at least half of the measured servers are slow. A single slow server may have a fault, or
  /// another process may use up its resources; this does not show how many attempts the other servers can
  /// process.
  [[nodiscard]] bool is_overload() const { return 2 * slow_ >= measured_; }

 private:
  int measured_ = 0;
  int slow_ = 0;
};

}  // namespace nettleyoke
