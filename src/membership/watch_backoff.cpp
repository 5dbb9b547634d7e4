#include "membership/watch_backoff.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Longest time from the start of a failed poll or watch to the next one.
constexpr double kMaxSecondsBetweenWatches = 4;
// Longest backoff, as a fraction of the notification deadline and in seconds if there is no deadline.
constexpr double kMaxBackoffPerDeadline = 0.5;
constexpr double kMaxBackoffSeconds = 5;

}  // namespace

double WatchBackoff::next_watch_at(double now, double notification_deadline, RandomSource& random) {
  const double max_backoff =
      notification_deadline > 0 ? notification_deadline * kMaxBackoffPerDeadline : kMaxBackoffSeconds;
  const double until_due = std::max(last_watch_at_ + kMaxSecondsBetweenWatches - now, kInitialBackoffSeconds);
  const double pause = std::min(backoff_s_, until_due);
  last_watch_at_ = now + std::min(pause, max_backoff) * (0.5 + random.unit() / 2);
  backoff_s_ = std::min(backoff_s_ * 2, max_backoff);
  return last_watch_at_;
}

}  // namespace nettleyoke
