/// @file
/// The latency estimate of a class of requests.
#pragma once

#include "statistics/decaying_minimum.h"
#include "statistics/ewma.h"

namespace nettleyoke {

/// Learns the latency of one class of requests from attempts that succeeded or timed out. All values are in
/// seconds. Owns the estimate; takes no decisions.
class LatencyEstimate {
 public:
  /// @param latency_objective Latency objective of the class, s; the initial estimate is derived from it.
  explicit LatencyEstimate(double latency_objective);

  [[nodiscard]] double mean() const { return latency_.mean; }
  /// The late threshold: an attempt that has taken longer is unlikely to get a response soon, because almost
  /// all responses of the class take less time. The mean plus several deviations.
  [[nodiscard]] double late_threshold() const;
  /// Least latency of recent responses; 0 before the first.
  [[nodiscard]] double recent_minimum(double now) const { return recent_minimum_.at(now); }

  /// How much a timeout after `elapsed` counts as a failure of the server, 0 to 1. A timeout that the
  /// client cut short counts less: a healthy server's latency exceeds the mean in half of the cases, but
  /// rarely exceeds the mean plus one deviation.
  [[nodiscard]] double timeout_weight(double elapsed) const;

  /// The latency sample for a timeout, which is censored: the response takes longer, but it is unknown how
  /// long. If `elapsed` were recorded as a latency, a timeout cut short by the client would shorten the next
  /// timeout and a full timeout would lengthen it, and the estimate would not recover from either.
  [[nodiscard]] double censored_sample(double elapsed) const;

  /// Adds a latency or a censored sample.
  void record(double sample);
  /// Adds the latency of a response to the recent minimum.
  void record_minimum(double now, double elapsed) { recent_minimum_.add(now, elapsed); }

 private:
  Ewma latency_;
  DecayingMinimum recent_minimum_;
};

}  // namespace nettleyoke
