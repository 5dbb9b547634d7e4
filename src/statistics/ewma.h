/// @file
/// Exponentially weighted moving average.
#pragma once

#include <algorithm>
#include <cmath>

namespace nettleyoke {

/// Moving average and mean deviation of a series. The first samples count for more than the gain says, so
/// that the initial value is soon replaced.
struct Ewma {
  double mean = 0;
  double deviation = 0;  ///< Mean absolute deviation.
  double samples = 0;    ///< How many were added.

  /// @param minimum_gain Weight of one sample once many were added, 0 to 1. 0: the plain mean of all.
  void add(double value, double minimum_gain) {
    samples += 1;
    const double gain = std::max(minimum_gain, 1 / (samples + 1));
    deviation += gain * (std::abs(value - mean) - deviation);
    mean += gain * (value - mean);
  }
};

}  // namespace nettleyoke
