/// @file
/// The value for "no limit" and "never happened" in the decision library.
#pragma once

#include <limits>

namespace nettleyoke {

/// As a limit: unlimited. Negated, as a time: never happened.
constexpr double kInfinity = std::numeric_limits<double>::infinity();

}  // namespace nettleyoke
