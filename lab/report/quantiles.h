/// @file
/// Quantiles of measured times.
#pragma once

#include <cstddef>
#include <vector>

namespace nettleyoke::lab {

/// In the unit of the values; zeros where there are none.
struct Quantiles {
  std::size_t count = 0;
  double median = 0, p99 = 0, p999 = 0, max = 0;
};

/// @param values in any order
[[nodiscard]] Quantiles quantiles_of(std::vector<double> values);

}  // namespace nettleyoke::lab
