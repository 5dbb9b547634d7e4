#include "health/outlier_detection.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// Weight of one outcome in the failure rate.
constexpr double kOutcomeGain = 0.3;
// Half-life of the failure rate; each consecutive failure adds the same time again.
constexpr double kHalfLifeSeconds = 2;
constexpr int kMaxConsecutiveFailures = 4;
// A lower failure rate counts as 0; otherwise a server would be avoided forever.
constexpr double kNegligibleFailureRate = 0.05;

}  // namespace

double OutlierDetection::decayed_rate(double now) const {
  const double half_life = kHalfLifeSeconds * (1 + consecutive_failures_);
  const double decayed = failure_rate_ * std::exp2((updated_at_ - now) / half_life);
  return decayed < kNegligibleFailureRate ? 0 : decayed;
}

void OutlierDetection::record(double now, bool succeeded, double weight) {
  if (weight <= 0) return;
  const double before = failure_rate(now);
  failure_rate_ = before + kOutcomeGain * weight * ((succeeded ? 0 : 1) - before);
  updated_at_ = now;
  consecutive_failures_ = succeeded ? 0 : std::min(consecutive_failures_ + 1, kMaxConsecutiveFailures);
}

}  // namespace nettleyoke
