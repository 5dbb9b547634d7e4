/// @file
/// Settings of one replica of the load balancer.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace nettleyoke {

/// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      ///< Yes.
  kIdempotencyKey,  ///< Yes, within the scope and time in which servers drop duplicates of one key.
  kNonIdempotent    ///< Never.
};

/// The servers among which duplicates of a request with an idempotency key are dropped.
enum class DedupScope { kAll, kZone, kCell };

/// A class of requests.
struct RequestClass {
  double latency_objective = 0;  ///< s; a response within this time earns the full priority weight.
  double objective_growth = 0;   ///< s added to the latency objective per second of announced work.
  double client_timeout = 0;     ///< s that the client waits in total; upper bound of the objective.
  double late_value = 0;  ///< Fraction of the priority weight that a response after the objective earns.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  /// s after the first attempt that may have run, during which servers drop duplicates.
  double dedup_window = 0;
  std::string name = {};  ///< Identifies the class when settings are replaced; may be empty.
};

/// A tenant and its quota.
struct Tenant {
  std::optional<double> quota;  ///< Requests per second over all replicas; empty: unlimited.
  std::string name = {};        ///< Identifies the tenant when settings are replaced; may be empty.
};

/// The configuration of a replica.
struct Settings {
  int replica_index = 0;         ///< Index of this replica, 0 to replica_count - 1.
  int replica_count = 1;         ///< Number of load-balancer replicas that send to this tier.
  int tier = 0;                  ///< Tier of servers that this replica sends to; clients call tier 0.
  int zone = 0;                  ///< Zone of this replica.
  double clock_granularity = 0;  ///< s; least time between two events.
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  ///< Empty: traffic is not separated by tenant.

  double over_quota_weight = 1;  ///< Weight of a request beyond its tenant's quota; 1 within it.

  int max_attempts = 1;  ///< Maximum number of attempts for one request.
  /// Allows hedged requests: two attempts of one request in flight together. Ignored, because this library
  /// never hedges.
  bool allow_hedging = false;
  bool can_cancel = false;     ///< The host supports CancelAttempt.
  double max_retry_after = 0;  ///< s; longest Retry-After that clients follow. 0: none is sent.
  bool must_watch = false;     ///< Membership changes arrive only after a WatchMembership action.
  /// s after which a replica that does not watch counts as notified of a change. Half of it is the longest
  /// backoff before a re-watch. 0: unknown.
  double notification_deadline = 0;

  double initial_capacity = 1;     ///< Least fraction of its capacity that a server has when it starts.
  double slow_start_duration = 0;  ///< s until a server that starts has its full capacity.
  double overload_threshold = 0;   ///< Multiple of its capacity at which a server fails. 0: unknown.

  double cross_zone_cost = 0;  ///< Cost of a request to another zone. 0: no zone is preferred.
};

/// Checks that all settings are in range.
/// @throws std::invalid_argument that names the first field out of range, its value and its range.
void validate(const Settings& settings);

}  // namespace nettleyoke
