/// @file
/// What latency is usual for a class of requests.
#pragma once

#include "statistics/decaying_minimum.h"
#include "statistics/ewma.h"

namespace nettleyoke {

/// Learns the latency of one class of requests from attempts that succeeded or timed out. All values are
/// seconds. Owns what it has learned; decides nothing.
class LatencyEstimate {
 public:
  /// @param latency_objective Of the class; the first estimate is derived from it.
  explicit LatencyEstimate(double latency_objective);

  [[nodiscard]] double mean() const { return latency_.mean; }
  /// After this time an attempt is clearly late.
  [[nodiscard]] double clearly_late_after() const;
  /// The quickest answer of late; 0 before the first.
  [[nodiscard]] double quickest(double now) const { return quickest_.at(now); }

  /// How much a timeout after `elapsed` says of the server, 0 to 1. One that the client cut short says
  /// something of the client: at the mean a good server is late half of the time, a deviation past it seldom.
  [[nodiscard]] double timeout_weight(double elapsed) const;

  /// The sample that a timeout gives. It says that an answer takes longer, not how long: the sample is
  /// censored. Taken for a latency, a timeout that the client cut short would make the next timeout shorter,
  /// and one that had all its time the next longer, and neither would come back.
  [[nodiscard]] double censored_sample(double elapsed) const;

  /// Adds a latency or a censored sample.
  void record(double sample);
  /// Adds a latency to the quickest of late.
  void record_answer(double now, double elapsed) { quickest_.add(now, elapsed); }

 private:
  Ewma latency_;
  DecayingMinimum quickest_;
};

}  // namespace nettleyoke
