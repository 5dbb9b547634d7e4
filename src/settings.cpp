// Which settings can be used at all.
#include "nettleyoke/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace nettleyoke {
namespace {

void require(bool holds, const std::string& rule) {
  if (!holds) throw std::invalid_argument("nettleyoke settings: " + rule);
}

// Rejects NaN and infinities too.
void require_amount(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field + " must be a finite number and not negative");
}

void require_usable(const RequestClass& rules) {
  require(rules.idempotency >= Idempotency::kIdempotent && rules.idempotency <= Idempotency::kNonIdempotent,
          "classes[].idempotency is unknown");
  require(rules.dedup_scope >= DedupScope::kAll && rules.dedup_scope <= DedupScope::kCell,
          "classes[].dedup_scope is unknown");
  require_amount(rules.latency_objective, "classes[].latency_objective");
  require_amount(rules.objective_growth, "classes[].objective_growth");
  require_amount(rules.client_timeout, "classes[].client_timeout");
  require(rules.client_timeout > 0, "classes[].client_timeout must be above 0");
  require_amount(rules.late_value, "classes[].late_value");
  require_amount(rules.dedup_window, "classes[].dedup_window");
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.replica_count > 0, "replica_count must be above 0");
  require(settings.replica_index >= 0 && settings.replica_index < settings.replica_count,
          "replica_index must be from 0 to replica_count - 1");
  require(settings.tier >= 0, "tier must not be negative");
  require(settings.max_attempts > 0, "max_attempts must be above 0");
  require(settings.initial_capacity >= 0 && settings.initial_capacity <= 1,
          "initial_capacity must be from 0 to 1");
  require_amount(settings.clock_granularity, "clock_granularity");
  require_amount(settings.max_retry_after, "max_retry_after");
  require_amount(settings.notification_deadline, "notification_deadline");
  require_amount(settings.slow_start_duration, "slow_start_duration");
  require_amount(settings.overload_threshold, "overload_threshold");
  require_amount(settings.over_quota_weight, "over_quota_weight");
  require_amount(settings.cross_zone_cost, "cross_zone_cost");
  for (const RequestClass& rules : settings.classes) require_usable(rules);
  for (const Tenant& tenant : settings.tenants) {
    if (tenant.quota) require_amount(*tenant.quota, "tenants[].quota");
  }
}

}  // namespace nettleyoke
