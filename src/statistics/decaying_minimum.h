/// @file
/// The recent minimum of a series.
#pragma once

#include <cmath>

namespace nettleyoke {

/// The minimum of recent samples. A smaller sample replaces it at once, larger ones raise it slowly. Without
/// samples it decays towards 0, so that requests that were rejected because of it are admitted again. Owns
/// the minimum and the time of the last sample.
class DecayingMinimum {
 public:
  /// @param gain Weight of one sample above the minimum.
  /// @param time_constant_s Time without samples in which the minimum decays to 1/e, s.
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
