/// @file
/// When to watch discovery again after a failure.
#pragma once

#include "statistics/infinity.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Re-watch with exponential backoff and jitter. What discovery has while a call hangs counts as notified
/// soon, so that a call which hung long leaves less pause. Owns the backoff; sets no timer.
class WatchBackoff {
 public:
  /// An update has arrived, or discovery may be another one: the next failure waits least.
  void reset() { backoff_s_ = kInitialBackoffSeconds; }

  /// A poll or watch has failed.
  /// @param notification_deadline As in Settings, s; 0: unknown.
  /// @param random One draw is taken.
  /// @return When to try again, s.
  [[nodiscard]] double next_attempt_at(double now, double notification_deadline, RandomSource& random);

 private:
  // Doubled with each failure in a row.
  static constexpr double kInitialBackoffSeconds = 0.3;

  double backoff_s_ = kInitialBackoffSeconds;
  double last_attempt_at_ = -kInfinity;
};

}  // namespace nettleyoke
