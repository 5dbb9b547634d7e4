/// @file
/// An experiment: the nodes, servers, load and faults of a run. These are plain records: experiment_reader
/// fills them from a file, and node_settings derives the settings of the nodes from them. Durations are in s;
/// points in time are in s from the first call. A call is one request of a client, with all its attempts.
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
  double work = 0;   ///< mean CPU time of a request, in s of one core
  double share = 1;  ///< relative frequency of this class among the calls of all classes
};

struct TenantSpec {
  std::string name;
  double share = 1;  ///< relative frequency of this tenant among the calls of all tenants
  double quota = 0;  ///< calls per second; 0: no quota
};

/// A group of identical servers. The servers of a tier are numbered across its groups: s0, s1 ... in tier 0,
/// t1-s0, t1-s1 ... in tier 1, and so on.
struct ServerGroupSpec {
  int count = 1, tier = 0;
  int cores = 2, slots = 16, queue_limit = 32, connection_limit = 256;
  double idle_timeout = 30;
  std::vector<std::string> zones;  ///< assigned round-robin
};

struct LoadSpec {
  double per_second = 0, from = 0;
  double until = 0;  ///< 0: until the end of the run
  int retries = 0;
  double retry_pause = 0.1;     ///< mean pause before a client retry, in s
  double disconnect_share = 0;  ///< share of calls whose client disconnects before the response
  std::string zone;             ///< calls go only to nodes in this zone; empty: to all nodes
};

/// One injected fault.
struct FaultInjection {
  enum class Kind {
    kHang,     ///< the server accepts requests and never responds
    kSlow,     ///< the server works at `factor` of its normal speed
    kFail,     ///< the server responds with status 500
    kRecover,  ///< the server works normally again: ends kHang, kSlow and kFail
    kCrash,    ///< the server resets its connections and refuses new ones; discovery removes it 1 s later
    kStart,    ///< a crashed server starts again, in slow start
    kDrain,    ///< discovery lists the server as draining; the server keeps working
    kRemove,   ///< discovery removes the server from the endpoint list
    kDiscoveryDown,   ///< for `seconds`, agents accept connections but do not respond or get updates
    kResetWatches,    ///< agents reset the connections of all open watches
    kStallWatches,    ///< agents keep all open watches open but send nothing more on them
    kDelayDiscovery,  ///< from now on, agents get changes `seconds` late
    kPartition        ///< for `seconds`, a zone and all other zones cannot reach each other
  };
  Kind kind = Kind::kHang;
  double at = 0;       ///< s from the first call
  double seconds = 0;  ///< duration or delay, see has_duration()
  double factor = 1;   ///< of kSlow
  std::string server;  ///< name of the affected server, see targets_server()
  std::string zone;    ///< of kPartition
};

/// The name of a fault kind in experiment files and results.
const char* fault_kind_name(FaultInjection::Kind kind);
/// @return nothing when no fault kind has that name
std::optional<FaultInjection::Kind> fault_kind_from_name(std::string_view name);
/// The names of all fault kinds, separated by commas.
std::string fault_kind_names();
/// Whether the fault affects a single server.
bool targets_server(FaultInjection::Kind kind);
/// Whether the fault uses `seconds`.
bool has_duration(FaultInjection::Kind kind);

struct NodesSpec {
  int real_count = 1, hollow_count = 0;
  int memory_mb = 192, descriptors = 512;  ///< resource limits of each node
  std::vector<std::string> zones;          ///< assigned round-robin
  int count() const { return real_count + hollow_count; }
};

/// The settings of the nodes, except for classes, tenants, zone and replica index.
struct SettingsSpec {
  int max_attempts = 3;
  bool allow_hedging = false;
  bool cancel = true;       ///< nodes may close the connection of an attempt to cancel it
  bool must_watch = false;  ///< nodes get endpoint list changes only over a watch
  double max_retry_after = 2, connect_timeout = 0.25, server_idle_timeout = 30;
  /// Slow start: the fraction of its capacity that a server has when it starts, and the time until it has
  /// all.
  double initial_capacity = 0.4, slow_start_duration = 3;
  double drain_grace = 0.5;   ///< time after a node's notification in which a drained server may get attempts
  double answer_slack = 0.5;  ///< of the checker: time after the client timeout in which a response counts
};

struct Experiment {
  std::string name;   ///< file name without extension
  std::string title;  ///< description from the file
  std::uint64_t seed = 1;
  double seconds = 0;  ///< time during which clients send calls
  NodesSpec nodes;
  SettingsSpec settings;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<ServerGroupSpec> servers;
  std::vector<LoadSpec> loads;
  std::vector<FaultInjection> faults;  ///< sorted by time

  int tier_count() const;
  /// The names of a tier's servers, in the order of their numbers.
  std::vector<std::string> server_names(int tier) const;
  /// @return the tier of a server, or nothing when no server has that name
  std::optional<int> tier_of(const std::string& server) const;
};

}  // namespace nettleyoke::lab
