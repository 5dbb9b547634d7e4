/// @file
/// Writes a report as JSON. The keys are a stable format, because other programs read results of this and of
/// earlier versions.
#pragma once

#include <string>

#include "report/report.h"

namespace nettleyoke::lab {

[[nodiscard]] std::string to_json(const Report& report);

}  // namespace nettleyoke::lab
