// One play of an experiment: starts all that takes part, makes the changes as they fall due, waits for the
// last answers, ends everything, and gives what was measured. It ends by itself.
#pragma once

#include <functional>
#include <string>

#include "report/report.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

struct PlayOptions {
  std::string program;                                               // the node
  std::string folder;                                                // for the nodes' files
  std::function<void(const std::string& step, double at)> progress;  // s from the first call
};

// Throws std::runtime_error when the nodes don't come up. SIGINT and SIGTERM cut it off in order.
Report play(const Experiment& experiment, const PlayOptions& options);

}  // namespace nettleyoke::lab
