/// @file
/// Outlier detection: which server fails too often to be used.
#pragma once

namespace nettleyoke {

/// The failure rate of one server and whether it is ejected for it. Owns a moving average that fades with
/// time; knows nothing of tenants and never decides where calls go.
class OutlierDetection {
 public:
  /// Failure rate now, 0 to 1. It fades, the slower the more failures came in a row.
  [[nodiscard]] double failure_rate(double now) const { return failure_rate_ == 0 ? 0 : faded_rate(now); }

  /// Whether the server gets no calls while others are healthy.
  [[nodiscard]] bool is_ejected(double now) const { return failure_rate(now) >= kEjectionFailureRate; }

  /// Records the outcome of one attempt.
  /// @param weight How much it says of the server, 0 to 1.
  void record(double now, bool succeeded, double weight = 1);

 private:
  [[nodiscard]] double faded_rate(double now) const;

  // The failure rate from which a server is ejected.
  static constexpr double kEjectionFailureRate = 0.5;

  double failure_rate_ = 0;
  double updated_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace nettleyoke
