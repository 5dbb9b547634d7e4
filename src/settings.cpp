// Which settings can be used at all.
#include "nettleyoke/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace nettleyoke {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("nettleyoke settings: " + what);
}

// Refuses NaN and infinities too.
void require_amount(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field + " must be a finite number and not negative");
}

}  // namespace

void validate(const Settings& s) {
  require(s.replica_count > 0, "replica_count must be above 0");
  require(s.replica_index >= 0 && s.replica_index < s.replica_count,
          "replica_index must be from 0 to replica_count - 1");
  require(s.tier >= 0, "tier must not be negative");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.initial_capacity >= 0 && s.initial_capacity <= 1, "initial_capacity must be from 0 to 1");
  require_amount(s.clock_granularity, "clock_granularity");
  require_amount(s.max_retry_after, "max_retry_after");
  require_amount(s.notification_deadline, "notification_deadline");
  require_amount(s.slow_start_duration, "slow_start_duration");
  require_amount(s.overload_threshold, "overload_threshold");
  require_amount(s.over_quota_weight, "over_quota_weight");
  require_amount(s.cross_zone_cost, "cross_zone_cost");
  for (const RequestClass& c : s.classes) {
    require(c.idempotency >= Idempotency::kIdempotent && c.idempotency <= Idempotency::kNonIdempotent,
            "classes[].idempotency is unknown");
    require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
            "classes[].dedup_scope is unknown");
    require_amount(c.latency_objective, "classes[].latency_objective");
    require_amount(c.objective_growth, "classes[].objective_growth");
    require_amount(c.client_timeout, "classes[].client_timeout");
    require(c.client_timeout > 0, "classes[].client_timeout must be above 0");
    require_amount(c.late_value, "classes[].late_value");
    require_amount(c.dedup_window, "classes[].dedup_window");
  }
  for (const Tenant& t : s.tenants) {
    if (t.quota) require_amount(*t.quota, "tenants[].quota");
  }
}

}  // namespace nettleyoke
