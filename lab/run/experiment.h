/// @file
/// What an experiment is: the nodes, servers, load and faults of a run. Plain records; experiment_reader
/// fills them from a file, node_settings makes a node's settings of them. Times are seconds from the first
/// call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nettleyoke/balancer.h"

namespace nettleyoke::lab {

struct ClassSpec {
  std::string name;
  Idempotency idempotency = Idempotency::kIdempotent;
  double latency_objective = 0, client_timeout = 0, dedup_window = 0;
  double work = 0;   ///< s of one core, in the mean
  double share = 1;  ///< of the calls, against the other classes
};

struct TenantSpec {
  std::string name;
  double share = 1;  ///< of the calls, against the other tenants
  double quota = 0;  ///< calls a second; 0: nodes are given none
};

/// Servers that are alike. They are named s0, s1 ... over all groups of a tier, with the tier's number before
/// them from the second tier on: t1-s0.
struct ServerGroupSpec {
  int count = 1, tier = 0;
  int cores = 2, slots = 16, queue_limit = 32, connection_limit = 256;
  double idle_timeout = 30;
  std::vector<std::string> zones;  ///< assigned in turn
};

struct LoadSpec {
  double per_second = 0, from = 0;
  double until = 0;  ///< 0: to the end
  int retries = 0;
  double retry_pause = 0.1;     ///< s in the mean, before a retry
  double disconnect_share = 0;  ///< of the calls; their client disconnects before the response
  std::string zone;             ///< whose nodes get the calls; empty: all of them
};

/// One step of the fault injection.
struct FaultInjection {
  enum class Kind {
    kHang,            ///< the server takes requests and does nothing
    kSlow,            ///< it works at `factor` of its speed
    kFail,            ///< it answers 500
    kRecover,         ///< it is as at the start
    kCrash,           ///< connections are reset, new ones refused; discovery removes it 1 s later
    kStart,           ///< it starts again, in slow start
    kDrain,           ///< discovery lists it as draining; it works on
    kRemove,          ///< discovery removes it
    kDiscoveryDown,   ///< agents accept, answer nothing and learn nothing, for `seconds`
    kResetWatches,    ///< all open watches are reset
    kStallWatches,    ///< open watches send nothing any more
    kDelayDiscovery,  ///< agents hear of changes `seconds` late from here on
    kPartition        ///< a zone and the rest lose each other for `seconds`
  };
  Kind kind = Kind::kHang;
  double at = 0, seconds = 0, factor = 1;
  std::string server, zone;
};

/// The word of experiment files and results for a kind of fault.
const char* word_for(FaultInjection::Kind kind);
std::optional<FaultInjection::Kind> fault_kind_for(std::string_view word);
/// All words, with commas between them.
std::string fault_words();
/// Whether the fault befalls one server.
bool targets_server(FaultInjection::Kind kind);
/// Whether the fault has `seconds`.
bool has_duration(FaultInjection::Kind kind);

struct NodesSpec {
  int real_count = 1, hollow_count = 0;
  int memory_mb = 192, descriptors = 512;  ///< limits of each node
  std::vector<std::string> zones;          ///< assigned in turn
  int count() const { return real_count + hollow_count; }
};

/// What nodes are given as their settings, beside classes, tenants and their own position.
struct SettingsSpec {
  int max_attempts = 3;
  bool allow_hedging = false, cancel = true, must_watch = false;
  double max_retry_after = 2, connect_timeout = 0.25, server_idle_timeout = 30;
  double initial_capacity = 0.4, slow_start_duration = 3;
  double drain_grace = 0.5, answer_slack = 0.5;
};

struct Experiment {
  std::string name;   ///< the file's name without its ending
  std::string title;  ///< what the file says of itself
  std::uint64_t seed = 1;
  double seconds = 0;
  NodesSpec nodes;
  SettingsSpec settings;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<ServerGroupSpec> servers;
  std::vector<LoadSpec> loads;
  std::vector<FaultInjection> faults;  ///< in the order of their times

  int tier_count() const;
  /// The names of a tier's servers, in their order.
  std::vector<std::string> server_names(int tier) const;
  /// The tier of a server, or nothing where no server has that name.
  std::optional<int> tier_of(const std::string& server) const;
};

}  // namespace nettleyoke::lab
