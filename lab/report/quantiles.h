/// @file
/// Quantiles of measurements.
#pragma once

#include <cstddef>
#include <vector>

namespace nettleyoke::lab {

/// Quantiles in the unit of the values; all fields are 0 when there are no values.
struct Quantiles {
  std::size_t count = 0;
  double median = 0, p99 = 0, p999 = 0, max = 0;
};

/// @param values in any order
[[nodiscard]] Quantiles quantiles_of(std::vector<double> values);

}  // namespace nettleyoke::lab
