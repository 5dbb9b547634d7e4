/// @file
/// Writes a report as plain text tables.
#pragma once

#include <string>

#include "report/report.h"

namespace nettleyoke::lab {

[[nodiscard]] std::string to_table(const Report& report);

}  // namespace nettleyoke::lab
