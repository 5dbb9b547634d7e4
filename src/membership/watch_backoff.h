/// @file
/// When to watch discovery again after a failure.
#pragma once

#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Re-watch with exponential backoff and jitter. The backoff is shorter after a watch that hung for long,
/// because changes that occurred in the meantime reach their notification deadline soon. Owns the backoff;
/// sets no timer.
class WatchBackoff {
 public:
  /// Resets the backoff to its initial value: an update has arrived, or the discovery agent may have changed.
  void reset() { backoff_s_ = kInitialBackoffSeconds; }

  /// Records a failed poll or watch and computes when to watch again.
  /// @param notification_deadline As in Settings, s; 0: unknown.
  /// @param random One draw is taken.
  /// @return Time of the re-watch, s.
  [[nodiscard]] double next_watch_at(double now, double notification_deadline, RandomSource& random);

 private:
  // Doubles with each consecutive failure.
  static constexpr double kInitialBackoffSeconds = 0.3;

  double backoff_s_ = kInitialBackoffSeconds;
  double last_watch_at_ = -kInfinity;
};

}  // namespace nettleyoke
