/// @file
/// How slow a server is against the others.
#pragma once

#include "capacity/in_flight_load.h"
#include "statistics/ewma.h"

namespace nettleyoke {

/// The relative latency of one server: its latency against the usual of the same class of requests, 1 being
/// the usual. Owns the moving average; fades to 1, because a slow server would else never be tried again.
class RelativeLatency {
 public:
  /// @param ratio Latency of an attempt, or its age at a timeout, against the usual of its class.
  void record(double now, double ratio);

  /// By its last answers, or by the age of what it has not answered; 1 at least, so that like servers stay a
  /// tie, which the calls in flight decide. At one call per second, calls in flight tell slow servers from
  /// fast ones only once queues are long.
  /// @param usual_latency_s Over all servers and classes, s.
  [[nodiscard]] double at(double now, const InFlightLoad& in_flight, double usual_latency_s) const;

 private:
  Ewma average_{1, 0, 0};
  double recorded_at_ = 0;
};

}  // namespace nettleyoke
