/// @file
/// One run of an experiment: starts all that takes part, injects the faults as they fall due, waits for the
/// last responses, ends everything, and gives what was measured. It ends by itself.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include "report/report.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

struct RunOptions {
  std::string program;                                               ///< the node
  std::string folder;                                                ///< for the nodes' files
  std::function<void(const std::string& step, double at)> progress;  ///< s from the first call
};

/// The nodes did not come up; the text has what they logged.
struct RunError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Runs an experiment. SIGINT and SIGTERM end it early, with what was measured so far.
/// @param experiment outlives the report
/// @throws RunError when the nodes don't come up
[[nodiscard]] Report run_experiment(const Experiment& experiment, const RunOptions& options);

}  // namespace nettleyoke::lab
