/// @file
/// Computes how long before the client's deadline a request must end. Stateless.
#pragma once

#include <algorithm>

namespace nettleyoke::node {

/// The time between the end of a request's attempts and the client's deadline.
class DeadlineMargin {
 public:
  /// The longest margin. It covers the network delay of the request, the network delay of the response, and
  /// an event loop that runs late on a shared core. A response that reaches the client after its deadline is
  /// a lost request; a response that arrives within the margin would at best count as late, that is, miss its
  /// latency objective.
  static constexpr double kMaxSeconds = 0.040;
  /// The margin as a fraction of the time that the client allows. Each tier subtracts its margin from the
  /// time that the tier above has left: three fixed margins would leave no time for an urgent request.
  static constexpr double kFractionOfTimeLeft = 0.02;
  /// The shortest margin. Clients state their timeout in whole milliseconds, and an event loop on a shared
  /// core needs a fraction of a millisecond to answer.
  static constexpr double kMinSeconds = 0.001;
  /// When this fraction of the margin is left before the client's deadline, the node fails a request that has
  /// no final answer, whatever the reason.
  static constexpr double kFallbackFraction = 0.5;

  constexpr explicit DeadlineMargin(double min_seconds = kMinSeconds) : min_seconds_(min_seconds) {}

  /// @param time_left s that the client allows for the request
  /// @return s
  constexpr double of(double time_left) const {
    return std::clamp(kFractionOfTimeLeft * time_left, min_seconds_, kMaxSeconds);
  }
  /// The time at which attempts end.
  /// @param client_deadline when the client gives up
  /// @param time_left as in of()
  constexpr double attempts_end(double client_deadline, double time_left) const {
    return client_deadline - of(time_left);
  }
  /// The time at which the request fails if it has no final answer.
  constexpr double fallback_at(double client_deadline, double time_left) const {
    return client_deadline - kFallbackFraction * of(time_left);
  }

 private:
  double min_seconds_;
};

}  // namespace nettleyoke::node
