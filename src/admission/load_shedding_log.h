/// @file
/// The log lines about load shedding.
#pragma once

#include <optional>
#include <string>

namespace nettleyoke {

/// Why a request was rejected.
enum class ShedReason {
  kThrottled,  ///< Its tenant exceeds its rate limit.
  kNoCapacity  ///< No server has capacity.
};

/// Counts rejected requests and formats one log line per period. The first rejected request after a line
/// starts a period. Owns the counts; does not write the line.
class LoadSheddingLog {
 public:
  /// Counts one rejected request.
  /// @return The line to log if the period has ended; otherwise empty.
  [[nodiscard]] std::optional<std::string> record_rejection(double now, ShedReason reason);

 private:
  int throttled_ = 0;    // since the last line
  int no_capacity_ = 0;  // since the last line
  double period_ends_at_ = 0;
};

}  // namespace nettleyoke
