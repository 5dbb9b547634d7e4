#include "attempts/latency_estimate.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// The objective that the first estimate is derived from is at most this.
constexpr double kMaxInitialObjectiveSeconds = 60;
constexpr double kInitialMeanPart = 1.0 / 4;
constexpr double kInitialDeviationPart = 1.0 / 8;
// Weight of one sample.
constexpr double kSampleGain = 0.05;
// Deviations over the mean before an attempt is clearly late.
constexpr double kLateDeviations = 6;
// Deviations over the mean that the sample of a timeout is at most.
constexpr double kCensoredDeviations = 3;
// A deviation of 0 must not divide.
constexpr double kMinDeviationSeconds = 1e-9;
// Weight of one answer in the quickest of late, and how fast that fades.
constexpr double kQuickestGain = 0.02;
constexpr double kQuickestSeconds = 10;

Ewma initial_estimate(double latency_objective) {
  const double objective = std::min(latency_objective, kMaxInitialObjectiveSeconds);
  return {objective * kInitialMeanPart, objective * kInitialDeviationPart, 0};
}

}  // namespace

LatencyEstimate::LatencyEstimate(double latency_objective)
    : latency_(initial_estimate(latency_objective)), quickest_(kQuickestGain, kQuickestSeconds) {}

double LatencyEstimate::clearly_late_after() const {
  return latency_.mean + kLateDeviations * latency_.deviation;
}

double LatencyEstimate::timeout_weight(double elapsed) const {
  const double deviations = (elapsed - latency_.mean) / std::max(kMinDeviationSeconds, latency_.deviation);
  return std::clamp((deviations + 1) / 2, 0.0, 1.0);
}

double LatencyEstimate::censored_sample(double elapsed) const {
  return std::min(elapsed + latency_.deviation, latency_.mean + kCensoredDeviations * latency_.deviation);
}

void LatencyEstimate::record(double sample) { latency_.add(sample, kSampleGain); }

}  // namespace nettleyoke
