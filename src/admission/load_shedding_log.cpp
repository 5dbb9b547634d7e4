#include "admission/load_shedding_log.h"

namespace nettleyoke {
namespace {

// Length of a period, in which rejected requests are counted for one line.
constexpr double kPeriodSeconds = 10;

}  // namespace

std::optional<std::string> LoadSheddingLog::record_rejection(double now, ShedReason reason) {
  if (throttled_ + no_capacity_ == 0) period_ends_at_ = now + kPeriodSeconds;
  ++(reason == ShedReason::kThrottled ? throttled_ : no_capacity_);
  if (now < period_ends_at_) return std::nullopt;
  std::string line = "load shedding: " + std::to_string(throttled_) + " over their tenant's rate limit, " +
                     std::to_string(no_capacity_) + " without a server with capacity";
  throttled_ = 0;
  no_capacity_ = 0;
  return line;
}

}  // namespace nettleyoke
