/// @file
/// The one name for "no bound" and "never happened" in the decision library.
#pragma once

#include <limits>

namespace nettleyoke {

/// As a limit: unlimited. As a time, with a minus sign: never happened.
constexpr double kInfinity = std::numeric_limits<double>::infinity();

}  // namespace nettleyoke
