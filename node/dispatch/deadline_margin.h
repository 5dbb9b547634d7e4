/// @file
/// How long before a client gives up its request has to be over. It keeps no state.
#pragma once

#include <algorithm>

namespace nettleyoke::node {

/// The time between the end of a request's attempts and the moment when its client gives up.
class DeadlineMargin {
 public:
  /// Attempts end this long before the client gives up: for the way that the request has come, an event loop
  /// that runs late on a shared core, and the way of the answer. An answer that comes too late is a lost
  /// request; one that this margin cuts off is a late one at best.
  static constexpr double kMaxSeconds = 0.040;
  /// The margin is no more than this fraction of the time that the client gives. Each tier takes its margin
  /// from what the tier above has left, so that three fixed ones would leave nothing to an urgent request.
  static constexpr double kFractionOfTimeLeft = 0.02;
  /// But no less than this: clients give whole milliseconds, and an event loop on a shared core takes a part
  /// of one to answer.
  static constexpr double kMinSeconds = 0.001;
  /// After this fraction of the margin the node fails a request that has no answer, for whatever reason.
  static constexpr double kFallbackFraction = 0.5;

  constexpr explicit DeadlineMargin(double min_seconds = kMinSeconds) : min_seconds_(min_seconds) {}

  /// @param time_left s that the client gives
  /// @return s
  constexpr double of(double time_left) const {
    return std::clamp(kFractionOfTimeLeft * time_left, min_seconds_, kMaxSeconds);
  }
  /// When attempts end.
  /// @param end when the client gives up
  constexpr double attempts_end(double end, double time_left) const { return end - of(time_left); }
  /// When the request is failed if nothing has answered it.
  constexpr double fallback_at(double end, double time_left) const {
    return end - kFallbackFraction * of(time_left);
  }

 private:
  double min_seconds_;
};

}  // namespace nettleyoke::node
