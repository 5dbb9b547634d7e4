// What a play measured, as JSON and as one plain table.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

// s; of values in any order.
struct Spread {
  std::size_t count = 0;
  double median = 0, p99 = 0, p999 = 0, last = 0;
};
Spread spread_of(std::vector<double> values);

struct NodeResult {
  std::string name, kind;  // real or hollow
  int tier = 0;
  std::size_t members = 0;  // of a group
  std::map<Ending, std::size_t> endings;
  std::size_t calls = 0, attempts = 0;
  // Time that the node added to served calls, net of the time that their servers had them: those of one
  // attempt, and all.
  Spread added_at_once, added;
  std::vector<double> times_at_once, times;  // what these are of, in s
  std::size_t watch_calls = 0, whole_lists = 0, control_bytes_in = 0, control_bytes_out = 0;
  std::uint64_t list_index = 0, latest_index = 0;  // the agent's version, and discovery's
  double cpu = 0;                                  // s
  double memory_mb = 0;
  std::string stats;                             // what STATS answered: one line of JSON, or empty
  std::size_t hosts_listed = 0, hosts_down = 0;  // by STATS

  // Keeps what can be read; a line that can't be is none.
  void take_stats(const std::string& line);
};

struct ServerResult {
  struct Done {
    std::string kind;
    double at = 0;  // s from the first call
  };
  std::string name;
  std::vector<Done> changes;  // what was done to it
  std::map<AttemptEnd, std::size_t> attempts;
  std::vector<std::size_t> by_second;  // attempts, from the first call
  Spread given_up_after;               // how long nodes waited for what they gave up
  std::size_t connections = 0;
  double work = 0;                // s of one core
  double latest_after_told = -1;  // s after its nodes were told to send nothing new; below 0: none came
};

struct Report {
  const Experiment* experiment = nullptr;
  std::uint64_t seed = 0;
  double seconds = 0;  // that calls came
  bool cut_off = false;
  std::vector<NodeResult> nodes;
  std::vector<ServerResult> servers;
  std::map<std::string, std::size_t> breaks;
  std::vector<std::string> first_breaks;
  double worst_own_lateness = 0;  // s
  // From when discovery has a change until a hollow node's module has it, over all changes and nodes.
  std::vector<double> times_in_force;     // s
  double own_cpu = 0, own_memory_mb = 0;  // of the lab's process, with all hollow nodes; s

  bool is_good() const { return breaks.empty() && !cut_off; }
};

// Nodes of one kind and tier, taken together: sums, and spreads over all their calls.
std::vector<NodeResult> groups_of(const Report& report);

// Takes from the audit what it knows: into the nodes and servers, which are in its order.
void add_calls(const Audit& audit, double first_call, Report& report);

std::string to_json(const Report& report);
std::string to_table(const Report& report);

}  // namespace nettleyoke::lab
