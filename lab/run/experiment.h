// What an experiment file says, checked. Times are seconds from the first call.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "nettleyoke/balancer.h"

namespace nettleyoke::lab {

// What is wrong with an experiment file: the text names the file, the line and the field.
struct BadExperiment : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ClassPlan {
  std::string name;
  Idempotency idempotency = Idempotency::kIdempotent;
  double latency_objective = 0, client_timeout = 0, dedup_window = 0;
  double work = 0;   // s of one core, in the mean
  double share = 1;  // of the calls, against the other classes
};

struct TenantPlan {
  std::string name;
  double share = 1;
  double quota = 0;  // calls a second; 0: none is told
};

// Servers that are alike. They are named s0, s1 ... over all groups of a tier, with the tier's number before
// them from the second tier on: t1-s0.
struct ServersPlan {
  int count = 1, tier = 0, cores = 2, slots = 16, room = 32, most_connections = 256;
  double server_idle_timeout = 30;
  std::vector<std::string> zones;  // in turn
};

struct CallersPlan {
  double per_second = 0, from = 0, until = 0;  // until 0: to the end
  int retries = 0;
  double retry_pause = 0.1;  // s in the mean, before a further try
  double leave_share = 0;    // of the calls; their client closes before the answer
  std::string zone;          // whose nodes they are dealt to; empty: all of them
};

struct Change {
  enum class Kind {
    kHang,     // the server takes requests and does nothing
    kSlow,     // it works at `factor` of its speed
    kFail,     // it answers 500
    kMend,     // it is as at the start
    kCrash,    // its connections are reset, dials are refused; discovery says it is gone 1 s later
    kStart,    // it starts again, cold
    kDrain,    // discovery says that it drains; it works on
    kRemove,   // it leaves the list
    kSilence,  // the agents accept and say nothing, and learn nothing, for `seconds`
    kReset,    // all open watches are reset
    kStall,    // open watches fall silent for good
    kLate,     // agents hear of changes `seconds` late from here on
    kCut       // a zone and the rest lose each other for `seconds`
  };
  Kind kind = Kind::kHang;
  double at = 0, seconds = 0, factor = 1;
  std::string server, zone;
};

// As the change is called in experiment files.
const char* name_of(Change::Kind kind);

struct Experiment {
  std::string name, title;  // the file's name without its ending, and what it says of itself
  std::uint64_t seed = 1;
  double seconds = 0;
  int nodes = 1, hollow_nodes = 0, memory_mb = 192, sockets = 512;
  std::vector<std::string> zones;
  int max_attempts = 3;
  bool allow_hedging = false, cancel = true, must_watch = false;
  double max_retry_after = 2, connect_timeout = 0.25, server_idle_timeout = 30, initial_capacity = 0.4,
         slow_start_duration = 3;
  double drain_grace = 0.5, answer_slack = 0.5;
  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;
  std::vector<ServersPlan> servers;
  std::vector<CallersPlan> callers;
  std::vector<Change> changes;

  int tiers() const;
  // The names of a tier's servers, in their order.
  std::vector<std::string> names_of_servers(int tier) const;
};

// Throws BadExperiment.
Experiment read_experiment(const std::string& path);

// The object that a node's configuration holds under `settings`, for node `position` of `count` of a tier.
std::string settings_json(const Experiment& experiment, int tier, const std::string& zone, int position,
                          int count);

}  // namespace nettleyoke::lab
