/// @file
/// Settings of one replica of the load balancer.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace nettleyoke {

/// What may happen when a request is executed more than once.
enum class Idempotency {
  kIdempotent,      ///< Harmless.
  kIdempotencyKey,  ///< Harmless within the scope and time in which servers drop duplicates of one key.
  kNonIdempotent    ///< Never allowed.
};

/// For requests with an idempotency key: the servers that drop each other's duplicates.
enum class DedupScope { kAll, kZone, kCell };

/// A class of requests.
struct RequestClass {
  double latency_objective = 0;  ///< s; an answer within this time earns the request's full priority weight.
  double objective_growth = 0;   ///< s for each second of announced work that the latency objective grows by.
  double client_timeout = 0;     ///< s; the client waits this long in all. The objective never exceeds it.
  double late_value = 0;         ///< Part of the weight that an answer after the objective still earns.
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  ///< s after the first attempt that may have run, while duplicates are dropped.
  std::string name = {};    ///< Identifies the class when settings are replaced; may be empty.
};

/// A tenant whose traffic is limited.
struct Tenant {
  std::optional<double> quota;  ///< Requests per second, over all replicas, that are within its quota.
  std::string name = {};        ///< Identifies the tenant when settings are replaced; may be empty.
};

/// All that a replica is configured with.
struct Settings {
  int replica_index = 0;         ///< This replica's number, 0 to replica_count - 1.
  int replica_count = 1;         ///< How many replicas of the load balancer send to this tier.
  int tier = 0;                  ///< Which tier of servers this replica sends to; clients reach 0 first.
  int zone = 0;                  ///< The zone that this replica runs in.
  double clock_granularity = 0;  ///< s; events come at least this far apart.
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  ///< Empty: traffic is not divided by tenant.

  double over_quota_weight = 1;  ///< Weight of a request beyond its tenant's quota, against one within it.

  int max_attempts = 1;  ///< Attempts allowed for one request.
  /// Two attempts of one request may be in flight together. No decision reads it: this library never hedges.
  bool allow_hedging = false;
  bool can_cancel = false;     ///< CancelAttempt may be used.
  double max_retry_after = 0;  ///< s; the longest Retry-After that clients follow. 0: they get none.
  bool must_watch = false;     ///< Membership changes arrive only after WatchMembership.
  /// s after which a change counts as notified where nothing is watched; half of it bounds the pause before a
  /// failed watch is tried again. 0: unknown.
  double notification_deadline = 0;

  double initial_capacity = 1;     ///< Part of its capacity that a server has at its start at least.
  double slow_start_duration = 0;  ///< s until a started server has all of its capacity.
  double overload_threshold = 0;   ///< A server sent over this multiple of its capacity fails. 0: unknown.

  double cross_zone_cost = 0;  ///< Cost of a call to another zone. 0: zones need no preference.
};

/// Checks whether the settings can be used.
/// @throws std::invalid_argument that names the field which is out of range.
void validate(const Settings& settings);

}  // namespace nettleyoke
