/// @file
/// A report as plain tables. Committed results hold them: their words stay as they are.
#pragma once

#include <string>

#include "report/report.h"

namespace nettleyoke::lab {

[[nodiscard]] std::string to_table(const Report& report);

}  // namespace nettleyoke::lab
