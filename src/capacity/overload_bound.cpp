#include "capacity/overload_bound.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke {
namespace {

// Least time between two reductions.
constexpr double kPauseSeconds = 2;
// The bound is lowered to this fraction of the attempts in flight.
constexpr double kReductionFactor = 0.9;
// A bound of 0 would reject all requests forever.
constexpr double kMinBound = 1;
// The bound rises by a factor of e in this time.
constexpr double kRiseSeconds = 40;

}  // namespace

double OverloadBound::at(double now) const { return bound_ * std::exp((now - lowered_at_) / kRiseSeconds); }

bool OverloadBound::may_lower(double now) const { return now > lowered_at_ + kPauseSeconds; }

double OverloadBound::lower(double now, int in_flight) {
  bound_ = std::max(kMinBound, kReductionFactor * std::min<double>(in_flight, at(now)));
  lowered_at_ = now;
  return bound_;
}

}  // namespace nettleyoke
