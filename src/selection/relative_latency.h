/// @file
/// Relative latency: how slow a server is compared with the others.
#pragma once

#include "capacity/in_flight_load.h"
#include "statistics/ewma.h"

namespace nettleyoke {

/// The latency of one server relative to the mean latency of the same request class; 1: equal to the mean.
/// Owns a moving average, which decays to 1, because otherwise a slow server would never be tried again.
class RelativeLatency {
 public:
  /// Adds one attempt.
  /// @param ratio Latency of the attempt, or its age at a timeout, relative to the mean of its class.
  void record(double now, double ratio);

  /// The relative latency by the last responses or by the age of the attempts in flight, whichever is higher.
  /// It is at least 1, so that equal servers have equal values and the attempts in flight decide. Attempts in
  /// flight alone do not suffice: at one request per second they show a slow server only when its queue is
  /// long.
  /// @param mean_latency_s Mean latency over all servers and classes, s.
  [[nodiscard]] double at(double now, const InFlightLoad& in_flight, double mean_latency_s) const;

 private:
  Ewma average_{1, 0, 0};
  double recorded_at_ = 0;
};

}  // namespace nettleyoke
