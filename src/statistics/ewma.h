/// @file
/// Exponentially weighted moving average.
#pragma once

#include <algorithm>
#include <cmath>

namespace nettleyoke {

/// Moving average and mean deviation of a series. The first samples have more weight than the minimum gain,
/// so that they soon replace the initial value.
struct Ewma {
  double mean = 0;
  double deviation = 0;  ///< Mean absolute deviation.
  double samples = 0;    ///< Number of samples added.

  /// Adds one sample.
  /// @param minimum_gain Weight of one sample after many, 0 to 1; 0: the plain mean of all samples.
  void add(double value, double minimum_gain) {
    samples += 1;
    const double gain = std::max(minimum_gain, 1 / (samples + 1));
    deviation += gain * (std::abs(value - mean) - deviation);
    mean += gain * (value - mean);
  }
};

}  // namespace nettleyoke
