/// @file
/// Reads experiment files. Only this reader maps the keys of the files to the names used in the code; the
/// keys are a stable format, because users keep experiment files of their own.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "run/experiment.h"

namespace nettleyoke::lab {

/// An error in an experiment file. The text is "FILE:LINE: PROBLEM".
class ExperimentError : public std::runtime_error {
 public:
  /// @param line counted from 1; 0 is reported as 1
  ExperimentError(const std::string& file, std::uint32_t line, const std::string& problem);
};

/// @throws ExperimentError when the file cannot be read, is not valid, or exceeds the limits that keep an
///   experiment on one machine
[[nodiscard]] Experiment read_experiment(const std::string& path);

}  // namespace nettleyoke::lab
