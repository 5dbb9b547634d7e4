/// @file
/// What a run measured. Plain records: summary fills them, json_report and text_report write them. Times are
/// in s.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "report/quantiles.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

/// One node, or several taken together.
struct NodeResult {
  std::string name, kind;  ///< real or hollow
  int tier = 0;
  std::size_t members = 0;  ///< of a group
  std::map<CallOutcome, std::size_t> outcomes;
  std::size_t calls = 0, attempts = 0;
  /// The time that the node added to served calls, net of the time that their servers had them: over calls of
  /// one attempt, and over all.
  Quantiles added_in_one_attempt, added;
  /// The times that these are of.
  std::vector<double> times_in_one_attempt, times;
  std::size_t watch_calls = 0, full_lists = 0, control_bytes_in = 0, control_bytes_out = 0;
  std::uint64_t list_version = 0;    ///< the agent's, or the one in force at a hollow node
  std::uint64_t latest_version = 0;  ///< discovery's
  double cpu = 0, memory_mb = 0;
  std::string stats;                             ///< what STATS answered: one line of JSON, or empty
  std::size_t hosts_listed = 0, hosts_down = 0;  ///< by STATS

  /// Takes what STATS answered; a line that can't be read is passed over.
  void take_stats(const std::string& line);
};

struct ServerResult {
  struct InjectedFault {
    std::string kind;
    double at = 0;  ///< s from the first call
  };
  std::string name;
  std::vector<InjectedFault> faults;
  std::map<AttemptOutcome, std::size_t> attempts;
  std::vector<std::size_t> attempts_by_second;  ///< from the first call
  Quantiles abandoned_after;                    ///< how long nodes waited for attempts that they abandoned
  std::size_t connections = 0;
  double work = 0;  ///< of one core
  /// After its nodes were notified that it gets nothing new; below 0: no attempt came.
  double latest_attempt_after_notification = -1;
};

struct Report {
  const Experiment* experiment = nullptr;
  std::uint64_t seed = 0;
  double seconds = 0;  ///< in which calls were sent
  bool interrupted = false;
  std::vector<NodeResult> nodes;
  std::vector<ServerResult> servers;
  std::map<std::string, std::size_t> violations;  ///< by rule
  std::vector<std::string> first_violations;
  double worst_event_loop_delay = 0;
  /// From when discovery has a change until a hollow node's balancer has it, over all changes and nodes.
  std::vector<double> propagation_times;
  double own_cpu = 0, own_memory_mb = 0;  ///< of the lab's process, with all hollow nodes

  bool passed() const { return violations.empty() && !interrupted; }
};

}  // namespace nettleyoke::lab
