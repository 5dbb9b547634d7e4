#include "capacity/overload_bound.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// Least time between two drops.
constexpr double kPauseSeconds = 2;
// Part of the calls in flight when a server turned slow that the bound drops to.
constexpr double kDropFactor = 0.9;
// A bound of 0 would reject all calls for good.
constexpr double kMinCalls = 1;
// How fast the bound rises again: by a factor of e in this time.
constexpr double kRiseSeconds = 40;

}  // namespace

double OverloadBound::at(double now) const { return bound_ * std::exp((now - dropped_at_) / kRiseSeconds); }

bool OverloadBound::may_drop(double now) const { return now > dropped_at_ + kPauseSeconds; }

double OverloadBound::drop(double now, int in_flight) {
  bound_ = std::max(kMinCalls, kDropFactor * std::min<double>(in_flight, at(now)));
  dropped_at_ = now;
  return bound_;
}

}  // namespace nettleyoke
