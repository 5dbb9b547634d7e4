/// @file
/// One run of an experiment: starts the fleet, sends the load and injects the faults at their times, waits
/// for the last responses, stops the nodes and reports the results. Every phase has a time limit, so a run
/// always ends.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include "report/report.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

struct RunOptions {
  std::string node_program;  ///< path of the executable
  std::string folder;        ///< for the nodes' configurations and logs
  /// Called when a step of the run begins. `at` is in s from the first call.
  std::function<void(const std::string& step, double at)> progress;
};

/// The nodes did not start. The text contains the logs of the nodes that exited.
struct RunError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Runs an experiment. SIGINT and SIGTERM end it early; the report then has the results up to that time.
/// @param experiment must outlive the report
/// @throws RunError when the nodes do not start
[[nodiscard]] Report run_experiment(const Experiment& experiment, const RunOptions& options);

}  // namespace nettleyoke::lab
