/// @file
/// Measures the delay of the lab's own event loop. Servers, clients and discovery run on this loop, so
/// the times measured for nodes include its delay; the checker extends its limits for nodes by it.
#pragma once

#include <algorithm>

namespace nettleyoke::lab {

/// All times are in s on the same clock.
class EventLoopMonitor {
 public:
  /// Records that a timer due at `due` fired at `now`.
  void record(double due, double now) {
    const double delay = now - due;
    worst_ = std::max(worst_, delay);
    if (delay >= recent_ || now > recent_until_) {
      recent_ = delay;
      recent_until_ = now + kRecentSeconds;
    }
  }
  /// The longest delay in about the last second, in s.
  double recent_delay() const { return recent_; }
  /// The longest delay of the whole run, in s.
  double worst_delay() const { return worst_; }

 private:
  static constexpr double kRecentSeconds = 1;
  double recent_ = 0, recent_until_ = 0, worst_ = 0;
};

}  // namespace nettleyoke::lab
