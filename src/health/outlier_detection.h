/// @file
/// Outlier detection: whether a server fails so often that it is ejected.
#pragma once

namespace nettleyoke {

/// The failure rate of one server, and whether the server is ejected because of it. Owns a moving average
/// that decays with time. Does not depend on tenants and does not select servers.
class OutlierDetection {
 public:
  /// Failure rate, 0 to 1. It decays more slowly the more consecutive failures there were.
  [[nodiscard]] double failure_rate(double now) const { return failure_rate_ == 0 ? 0 : decayed_rate(now); }

  /// Whether the server gets no attempts while other servers are healthy.
  [[nodiscard]] bool is_ejected(double now) const { return failure_rate(now) >= kEjectionFailureRate; }

  /// Records the outcome of one attempt.
  /// @param weight How much the outcome counts, 0 to 1.
  void record(double now, bool succeeded, double weight = 1);

 private:
  [[nodiscard]] double decayed_rate(double now) const;

  // Failure rate at or above which a server is ejected.
  static constexpr double kEjectionFailureRate = 0.5;

  double failure_rate_ = 0;
  double updated_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace nettleyoke
