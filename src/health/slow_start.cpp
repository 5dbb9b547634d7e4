#include "health/slow_start.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Highest refill rate of a bucket, as a multiple of the server's share of the traffic.
constexpr double kMaxTrafficFactor = 1;
// Fraction of the overload threshold up to which a bucket is refilled. The remainder is for bursts, retries
// and random variation.
constexpr double kOverloadThresholdFraction = 0.5;
// Bucket size beyond one token, in seconds of the server's share.
constexpr double kBurstSeconds = 0.1;

}  // namespace

void SlowStart::begin_incarnation(double now, double tokens) {
  traffic_share_ = 0;
  tokens_ = tokens;
  refilled_at_ = now;
}

void SlowStartPolicy::configure(const Settings& settings) {
  initial_capacity_ = settings.initial_capacity;
  duration_s_ = settings.slow_start_duration;
  const double overload_factor =
      settings.overload_threshold > 0 ? kOverloadThresholdFraction * settings.overload_threshold : kInfinity;
  max_traffic_factor_ = std::min(kMaxTrafficFactor, overload_factor);
}

double SlowStartPolicy::warming_factor(double now, const SlowStart& server, double started) const {
  // If the server has started since it was last disabled, its age counts from that start, even if it was
  // enabled later. With an age that counts from when it was enabled, a server restarted while disabled would
  // get less than its capacity, and the other servers more, at the moment when operators disable the next
  // server.
  const bool started_since_disabled = started != 0 && started > server.disabled_at_;
  const double warming_since = started_since_disabled ? started : server.enabled_at_;
  const double age = std::max(0.0, now - warming_since);
  return std::min(1.0, initial_capacity_ + (1 - initial_capacity_) * age / duration_s_);
}

bool SlowStartPolicy::has_token(double now, SlowStart& server, double started) const {
  const double slow_start_factor = factor(now, server, started);
  if (slow_start_factor >= 1) return true;
  const double share_rate = admitted_rate_.at(now) * server.traffic_share_ * max_traffic_factor_;
  const double refilled = server.tokens_ + (now - server.refilled_at_) * share_rate * slow_start_factor;
  server.tokens_ = std::min(1.0 + share_rate * kBurstSeconds, refilled);
  server.refilled_at_ = now;
  return server.tokens_ >= 1;
}

}  // namespace nettleyoke
