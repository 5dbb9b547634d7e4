#include "discovery/rewatch_backoff.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke::node {

double rewatch_backoff(int failures, double jitter) {
  constexpr double kInitialBackoffSeconds = 0.1;
  constexpr double kMaxBackoffSeconds = 0.2;
  constexpr int kMaxDoublings = 10;
  const double mean =
      std::min(kMaxBackoffSeconds, std::ldexp(kInitialBackoffSeconds, std::min(failures, kMaxDoublings)));
  return mean * (0.5 + jitter);
}

}  // namespace nettleyoke::node
