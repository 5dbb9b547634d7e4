#include "attempts/latency_estimate.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Upper bound of the latency objective from which the initial estimate is derived.
constexpr double kMaxInitialObjectiveSeconds = 60;
// The initial estimate, as fractions of the latency objective.
constexpr double kInitialMeanFraction = 1.0 / 4;
constexpr double kInitialDeviationFraction = 1.0 / 8;
// Weight of one sample.
constexpr double kSampleGain = 0.05;
// The late threshold, in deviations above the mean.
constexpr double kLateDeviations = 6;
// Upper bound of a censored sample, in deviations above the mean.
constexpr double kMaxCensoredDeviations = 3;
// Avoids a division by 0.
constexpr double kMinDeviationSeconds = 1e-9;
// Weight of one response in the recent minimum, and the time in which the minimum decays to 1/e.
constexpr double kRecentMinimumGain = 0.02;
constexpr double kRecentMinimumDecaySeconds = 10;

Ewma initial_estimate(double latency_objective) {
  const double objective = std::min(latency_objective, kMaxInitialObjectiveSeconds);
  return {objective * kInitialMeanFraction, objective * kInitialDeviationFraction, 0};
}

}  // namespace

LatencyEstimate::LatencyEstimate(double latency_objective)
    : latency_(initial_estimate(latency_objective)),
      recent_minimum_(kRecentMinimumGain, kRecentMinimumDecaySeconds) {}

double LatencyEstimate::late_threshold() const {
  return latency_.mean + kLateDeviations * latency_.deviation;
}

double LatencyEstimate::timeout_weight(double elapsed) const {
  const double deviations = (elapsed - latency_.mean) / std::max(kMinDeviationSeconds, latency_.deviation);
  return std::clamp((deviations + 1) / 2, 0.0, 1.0);
}

double LatencyEstimate::censored_sample(double elapsed) const {
  return std::min(elapsed + latency_.deviation, latency_.mean + kMaxCensoredDeviations * latency_.deviation);
}

void LatencyEstimate::record(double sample) { latency_.add(sample, kSampleGain); }

}  // namespace nettleyoke
