#include "report/quantiles.h"

#include <algorithm>
#include <cmath>

namespace nettleyoke::lab {

Quantiles quantiles_of(std::vector<double> values) {
  Quantiles quantiles;
  quantiles.count = values.size();
  if (values.empty()) return quantiles;
  std::sort(values.begin(), values.end());
  const auto at = [&values](double fraction) {
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
  };
  quantiles.median = at(0.5);
  quantiles.p99 = at(0.99);
  quantiles.p999 = at(0.999);
  quantiles.max = values.back();
  return quantiles;
}

}  // namespace nettleyoke::lab
