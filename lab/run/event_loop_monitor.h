/// @file
/// How late the lab's own event loop is. Its lateness excuses nodes, for they are measured on the same loop.
#pragma once

#include <algorithm>

namespace nettleyoke::lab {

/// Times are in s, on any one clock.
class EventLoopMonitor {
 public:
  /// Records that a timer fired at `now` that was due at `due`.
  void record(double due, double now) {
    const double delay = now - due;
    worst_ = std::max(worst_, delay);
    if (delay >= recent_ || now > recent_until_) {
      recent_ = delay;
      recent_until_ = now + kMemorySeconds;
    }
  }
  /// The worst delay of about the last second.
  double recent() const { return recent_; }
  double worst() const { return worst_; }

 private:
  static constexpr double kMemorySeconds = 1;
  double recent_ = 0, recent_until_ = 0, worst_ = 0;
};

}  // namespace nettleyoke::lab
