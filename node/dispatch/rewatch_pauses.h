/// @file
/// The pauses between watches that break, for a host whose lists are pushed. It owns the count of failures
/// and the random draws; the timer is its host's.
#pragma once

#include <cstdint>
#include <random>

#include "discovery/rewatch_backoff.h"

namespace nettleyoke::node {

class RewatchPauses {
 public:
  explicit RewatchPauses(std::uint64_t seed) : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  /// A watch has brought something.
  void reset() { failures_ = 0; }
  /// A watch has broken.
  /// @return s until the next is due
  [[nodiscard]] double next() {
    return rewatch_backoff(failures_++, std::uniform_real_distribution<>()(random_));
  }

 private:
  std::minstd_rand random_;
  int failures_ = 0;  // since a watch brought anything
};

}  // namespace nettleyoke::node
