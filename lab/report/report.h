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

/// The results of one node, or the aggregated results of a group of nodes.
struct NodeResult {
  std::string name;
  std::string kind;  ///< "real" or "hollow"
  int tier = 0;
  std::size_t group_size = 0;  ///< number of nodes in the group; 0 for a single node
  std::map<CallOutcome, std::size_t> outcomes;
  std::size_t calls = 0, attempts = 0;
  /// The latency that the node added to served calls: the call's duration minus the duration of its attempts
  /// at servers. The first covers calls with a single attempt. The second also covers calls with retries,
  /// unless hedging is allowed.
  Quantiles added_latency_single_attempt, added_latency;
  /// The values of these quantiles, one for each call.
  std::vector<double> added_latencies_single_attempt, added_latencies;
  /// Discovery requests of the node, full endpoint lists sent to it, and bytes as its discovery agent counts
  /// them: in is from the node, out is to the node.
  std::size_t watch_calls = 0, full_lists = 0, control_bytes_in = 0, control_bytes_out = 0;
  /// The endpoint list version in force at a hollow node; for a real node, its discovery agent's version.
  std::uint64_t list_version = 0;
  std::uint64_t latest_version = 0;  ///< latest version that discovery published
  double cpu = 0;                    ///< CPU time
  double memory_mb = 0;
  std::string stats;                             ///< response to STATS: one line of JSON, or empty
  std::size_t hosts_listed = 0, hosts_down = 0;  ///< endpoints, from the response to STATS

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
  Quantiles abandoned_after;                    ///< time from arrival until the node abandoned the attempt
  std::size_t connections = 0;
  double work = 0;  ///< CPU time, in s of one core
  /// Longest time from the moment when discovery notified a node that this server drains until that node's
  /// last new attempt to it; below 0: no such attempt arrived.
  double latest_attempt_after_notification = -1;
};

struct Report {
  const Experiment* experiment = nullptr;
  std::uint64_t seed = 0;
  double seconds = 0;  ///< time during which clients sent calls
  bool interrupted = false;
  std::vector<NodeResult> nodes;
  std::vector<ServerResult> servers;
  std::map<std::string, std::size_t> violations;  ///< number of violations by rule
  std::vector<std::string> first_violations;
  double worst_event_loop_delay = 0;  ///< longest delay of the lab's event loop
  /// Times from the publication of an endpoint list change until a hollow node's balancer uses it: one for
  /// each change and hollow node.
  std::vector<double> propagation_times;
  double lab_cpu = 0, lab_memory_mb = 0;  ///< of the lab's process, including all hollow nodes

  bool passed() const { return violations.empty() && !interrupted; }
};

}  // namespace nettleyoke::lab
