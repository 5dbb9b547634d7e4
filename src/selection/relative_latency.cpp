#include "selection/relative_latency.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Weight of one attempt in the moving average.
constexpr double kAttemptGain = 0.3;
// Time without attempts in which the relative latency returns to 1.
constexpr double kDecaySeconds = 20;

}  // namespace

void RelativeLatency::record(double now, double ratio) {
  average_.add(ratio, kAttemptGain);
  recorded_at_ = now;
}

double RelativeLatency::at(double now, const InFlightLoad& in_flight, double mean_latency_s) const {
  const double remaining = std::max(0.0, 1 - (now - recorded_at_) / kDecaySeconds);
  const double learned = 1 + (average_.mean - 1) * remaining;
  const double unanswered = in_flight.count() == 0 ? 0 : in_flight.mean_age(now) / mean_latency_s;
  return std::max({1.0, learned, unanswered});
}

}  // namespace nettleyoke
