/// @file
/// The smallest value of late.
#pragma once

#include <cmath>

namespace nettleyoke {

/// Follows a smaller value at once and larger ones slowly. It decays towards 0 without samples, so that what
/// is not tried because of it is tried again. Owns the value and the time of the last sample.
class DecayingMinimum {
 public:
  /// @param gain Weight of one sample above the minimum.
  /// @param time_constant_s Seconds without samples after which 1/e of the minimum is left.
  DecayingMinimum(double gain, double time_constant_s) : gain_(gain), time_constant_s_(time_constant_s) {}

  /// The minimum; 0 before the first sample.
  [[nodiscard]] double at(double now) const {
    return value_ == 0 ? 0 : value_ * std::exp((last_sample_at_ - now) / time_constant_s_);
  }

  void add(double now, double value) {
    const double minimum = at(now);
    value_ = minimum == 0 || value < minimum ? value : minimum + gain_ * (value - minimum);
    last_sample_at_ = now;
  }

 private:
  double gain_;
  double time_constant_s_;
  double value_ = 0;
  double last_sample_at_ = 0;
};

}  // namespace nettleyoke
