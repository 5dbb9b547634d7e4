/// @file
/// The results of a run. These are plain records: summary and run_results fill them, json_report and
/// text_report write them. Times are in s. A call is one request of a client, with all its attempts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "report/quantiles.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

/// The results of one node, or of a group of nodes together.
struct NodeResult {
  std::string name;
  std::string kind;  ///< "real" or "hollow"
  int tier = 0;
  std::size_t group_size = 0;  ///< number of nodes in the group; 0 for a single node
  std::map<CallOutcome, std::size_t> outcomes;
  std::size_t calls = 0, attempts = 0;
  /// The latency that the node added to served calls: the call's time minus the time that servers had it. The
  /// first covers calls with a single attempt, the second all served calls.
  Quantiles added_latency_single_attempt, added_latency;
  /// The measurements of these quantiles.
  std::vector<double> added_latencies_single_attempt, added_latencies;
  std::size_t watch_calls = 0, full_lists = 0, control_bytes_in = 0, control_bytes_out = 0;
  /// The endpoint list version in force at a hollow node; for a real node, the version that its agent has.
  std::uint64_t list_version = 0;
  std::uint64_t latest_version = 0;  ///< latest version in discovery
  double cpu = 0, memory_mb = 0;
  std::string stats;                             ///< response to STATS: one line of JSON, or empty
  std::size_t hosts_listed = 0, hosts_down = 0;  ///< from the response to STATS

  /// Stores the response to STATS; ignores a line that is not a JSON object.
  void parse_stats(const std::string& line);
};

struct ServerResult {
  struct InjectedFault {
    std::string kind;
    double at = 0;  ///< s from the first call
  };
  std::string name;
  std::vector<InjectedFault> faults;
  std::map<AttemptOutcome, std::size_t> attempts;
  std::vector<std::size_t> attempts_by_second;  ///< number of attempts in each second from the first call
  Quantiles abandoned_after;                    ///< how long nodes waited for attempts that they abandoned
  std::size_t connections = 0;
  double work = 0;  ///< s of one core
  /// Longest time in s from the notification of a node that this server drains until the node's last new
  /// attempt to it; below 0: no attempt came.
  double latest_attempt_after_notification = -1;
};

struct Report {
  const Experiment* experiment = nullptr;
  std::uint64_t seed = 0;
  double seconds = 0;  ///< how long clients sent calls
  bool interrupted = false;
  std::vector<NodeResult> nodes;
  std::vector<ServerResult> servers;
  std::map<std::string, std::size_t> violations;  ///< number of violations by rule
  std::vector<std::string> first_violations;
  double worst_event_loop_delay = 0;
  /// Times from the publication of a change until a hollow node's balancer has it in force: one for each
  /// change and hollow node.
  std::vector<double> propagation_times;
  double lab_cpu = 0, lab_memory_mb = 0;  ///< of the lab's process, including all hollow nodes

  bool passed() const { return violations.empty() && !interrupted; }
};

}  // namespace nettleyoke::lab
