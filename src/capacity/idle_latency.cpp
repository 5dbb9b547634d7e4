#include "capacity/idle_latency.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// As a part of the latency objective, at most: a start under load must not take queues for the usual.
constexpr double kMaxRatio = 0.3;
// Responses before the idle latency counts as learned.
constexpr double kMinResponses = 20;
// Before that long the responses are those of the quickest calls only.
constexpr double kSettleSeconds = 3;
// Weight of one response.
constexpr double kResponseGain = 0.02;
// How fast a quicker, and a slower, latency becomes the usual.
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
