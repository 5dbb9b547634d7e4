#include "capacity/idle_latency.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Upper bound of the idle latency, as a fraction of the latency objective. Without it, a replica that starts
// under load would learn the latency of queues as the idle latency.
constexpr double kMaxRatio = 0.3;
// Number of responses after which the idle latency can count as learned.
constexpr double kMinResponses = 20;
// Time after the first response before which nothing is learned, because the first responses after a start
// are those of the quickest requests only.
constexpr double kSettleSeconds = 3;
// Weight of one response.
constexpr double kResponseGain = 0.02;
// Time constants with which the idle latency falls to a lower average and rises to a higher one.
constexpr double kFallSeconds = 5;
constexpr double kRiseSeconds = 60;

}  // namespace

void IdleLatency::add(double now, double latency_ratio) {
  if (average_.samples == 0) updated_at_ = now + kSettleSeconds;
  average_.add(latency_ratio, kResponseGain);
  if (now < updated_at_ || average_.samples < kMinResponses) return;
  if (!learned_) ratio_ = average_.mean;
  const double step = (now - updated_at_) / (average_.mean < ratio_ ? kFallSeconds : kRiseSeconds);
  ratio_ = std::min(ratio_ + (average_.mean - ratio_) * std::min(1.0, step), kMaxRatio);
  learned_ = true;
  updated_at_ = now;
}

}  // namespace nettleyoke
