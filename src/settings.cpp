// Validation of the settings.
#include "nettleyoke/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace nettleyoke {
namespace {

template <typename Number>
void require(bool in_range, const std::string& field, Number value, const std::string& range) {
  if (in_range) return;
  throw std::invalid_argument("nettleyoke settings: " + field + " is " + std::to_string(value) +
                              " and must be " + range);
}

// Also rejects NaN and infinity.
void require_amount(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field, value, "a finite number and not negative");
}

void validate_class(const RequestClass& class_settings) {
  require(class_settings.idempotency >= Idempotency::kIdempotent &&
              class_settings.idempotency <= Idempotency::kNonIdempotent,
          "classes[].idempotency", static_cast<int>(class_settings.idempotency), "a value of Idempotency");
  require(class_settings.dedup_scope >= DedupScope::kAll && class_settings.dedup_scope <= DedupScope::kCell,
          "classes[].dedup_scope", static_cast<int>(class_settings.dedup_scope), "a value of DedupScope");
  require_amount(class_settings.latency_objective, "classes[].latency_objective");
  require_amount(class_settings.objective_growth, "classes[].objective_growth");
  require_amount(class_settings.client_timeout, "classes[].client_timeout");
  require(class_settings.client_timeout > 0, "classes[].client_timeout", class_settings.client_timeout,
          "above 0");
  require_amount(class_settings.late_value, "classes[].late_value");
  require_amount(class_settings.dedup_window, "classes[].dedup_window");
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.replica_count > 0, "replica_count", settings.replica_count, "above 0");
  require(settings.replica_index >= 0 && settings.replica_index < settings.replica_count, "replica_index",
          settings.replica_index, "from 0 to replica_count - 1");
  require(settings.tier >= 0, "tier", settings.tier, "0 or more");
  require(settings.max_attempts > 0, "max_attempts", settings.max_attempts, "above 0");
  require(settings.initial_capacity >= 0 && settings.initial_capacity <= 1, "initial_capacity",
          settings.initial_capacity, "from 0 to 1");
  require_amount(settings.clock_granularity, "clock_granularity");
  require_amount(settings.max_retry_after, "max_retry_after");
  require_amount(settings.notification_deadline, "notification_deadline");
  require_amount(settings.slow_start_duration, "slow_start_duration");
  require_amount(settings.overload_threshold, "overload_threshold");
  require_amount(settings.over_quota_weight, "over_quota_weight");
  require_amount(settings.cross_zone_cost, "cross_zone_cost");
  for (const RequestClass& class_settings : settings.classes) validate_class(class_settings);
  for (const Tenant& tenant : settings.tenants) {
    if (tenant.quota) require_amount(*tenant.quota, "tenants[].quota");
  }
}

}  // namespace nettleyoke
