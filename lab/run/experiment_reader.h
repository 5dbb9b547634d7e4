/// @file
/// Reads experiment files. This is the one place where a file's keys are turned into the field's terms: files
/// that others write keep their keys.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "run/experiment.h"

namespace nettleyoke::lab {

/// What is wrong with an experiment file. The text is "FILE:LINE: PROBLEM".
class ExperimentError : public std::runtime_error {
 public:
  /// @param line from 1 on; 0 counts as 1
  ExperimentError(const std::string& file, std::uint32_t line, const std::string& problem);
};

/// @throws ExperimentError when the file can't be read, or is not an experiment within one machine's bounds
[[nodiscard]] Experiment read_experiment(const std::string& path);

}  // namespace nettleyoke::lab
