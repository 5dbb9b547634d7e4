/// @file
/// A rate of events with exponential decay.
#pragma once

#include <cmath>

namespace nettleyoke {

/// Events per second, averaged over a decaying time window. Owns the rate and the time of the last event.
class DecayingRate {
 public:
  /// @param time_constant_s Time in which the weight of an event decays to 1/e, s.
  explicit DecayingRate(double time_constant_s) : time_constant_s_(time_constant_s) {}

  /// Events per second.
  [[nodiscard]] double at(double now) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((last_event_at_ - now) / time_constant_s_);
  }

  /// Counts one event.
  void add(double now) {
    rate_ = at(now) + 1 / time_constant_s_;
    last_event_at_ = now;
  }

 private:
  double time_constant_s_;
  double rate_ = 0;
  double last_event_at_ = 0;
};

}  // namespace nettleyoke
