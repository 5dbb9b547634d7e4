/// @file
/// A report as JSON. Others read it, also from earlier runs: its keys stay as they are.
#pragma once

#include <string>

#include "report/report.h"

namespace nettleyoke::lab {

[[nodiscard]] std::string to_json(const Report& report);

}  // namespace nettleyoke::lab
