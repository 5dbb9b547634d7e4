/// @file
/// The backoff between watches that fail, for a host to which discovery pushes lists. Holds the number of
/// failures and the source of the jitter; the host owns the timer.
#pragma once

#include <cstdint>
#include <random>

#include "discovery/rewatch_backoff.h"

namespace nettleyoke::node {

class RewatchPauses {
 public:
  explicit RewatchPauses(std::uint64_t seed) : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  /// Called when a watch has received data.
  void reset() { failures_ = 0; }
  /// Called when a watch has failed.
  /// @return s to wait before the next watch
  [[nodiscard]] double next() {
    return rewatch_backoff(failures_++, std::uniform_real_distribution<>()(random_));
  }

 private:
  std::minstd_rand random_;
  int failures_ = 0;  // since a watch last received data
};

}  // namespace nettleyoke::node
