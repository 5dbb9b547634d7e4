/// @file
/// How often load shedding is logged.
#pragma once

#include <optional>
#include <string>

namespace nettleyoke {

/// Why a request was rejected.
enum class ShedReason {
  kThrottled,  ///< Its tenant is over its rate limit.
  kNoCapacity  ///< No server has capacity.
};

/// Counts rejected requests and sums them up in one log line per period. Owns the counts; writes nothing.
class LoadSheddingLog {
 public:
  /// Counts one rejected request.
  /// @return The line to log once the period is over.
  [[nodiscard]] std::optional<std::string> note(double now, ShedReason reason);

 private:
  int throttled_ = 0;    // since the last line
  int no_capacity_ = 0;  // since the last line
  double next_line_at_ = 0;
};

}  // namespace nettleyoke
