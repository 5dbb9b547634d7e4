#include "settings_reader.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace nettleyoke::json {
namespace {

DedupScope read_dedup_scope(const Value& object) {
  const std::string_view value = text(object, "group");
  if (value == "all") return DedupScope::kAll;
  if (value == "zone") return DedupScope::kZone;
  if (value == "cell") return DedupScope::kCell;
  throw std::invalid_argument("categories[].group is '" + std::string(value) +
                              "' and must be all, zone or cell");
}

Idempotency read_idempotency(const Value& object) {
  const std::string_view value = text(object, "effect");
  if (value == "safe") return Idempotency::kIdempotent;
  if (value == "keyed") return Idempotency::kIdempotencyKey;
  if (value == "unsafe") return Idempotency::kNonIdempotent;
  throw std::invalid_argument("categories[].effect is '" + std::string(value) +
                              "' and must be safe, keyed or unsafe");
}

RequestClass read_class(const Value& object) {
  RequestClass request_class;
  if (find(object, "name") != nullptr) request_class.name = text(object, "name");
  request_class.latency_objective = number(object, "aim");
  request_class.objective_growth = number_or(object, "aimStretch", 0);
  request_class.client_timeout = number(object, "giveUp");
  request_class.late_value = number_or(object, "lateWorth", 0);
  request_class.idempotency = read_idempotency(object);
  if (request_class.idempotency == Idempotency::kIdempotencyKey) {
    request_class.dedup_scope = read_dedup_scope(object);
    request_class.dedup_window = number_or(object, "dedupWindow", 0);
  }
  return request_class;
}

Tenant read_tenant(const Value& object) {
  Tenant tenant;
  if (find(object, "name") != nullptr) tenant.name = text(object, "name");
  if (find(object, "allowancePerS") != nullptr) tenant.quota = number(object, "allowancePerS");
  return tenant;
}

void read_replica(const Value& object, Settings& settings) {
  settings.replica_index = integer(object, "position");
  settings.replica_count = integer(object, "peersTotal");
  settings.tier = integer_or(object, "stage", 0);
  settings.zone = integer_or(object, "zone", 0);
  settings.clock_granularity = number_or(object, "granularity", 0);
}

void read_classes_and_tenants(const Value& object, Settings& settings) {
  for (const Value& item : array(object, "categories").GetArray()) {
    settings.classes.push_back(read_class(item));
  }
  if (find(object, "realms") != nullptr) {
    for (const Value& item : array(object, "realms").GetArray()) {
      settings.tenants.push_back(read_tenant(item));
    }
  }
  settings.over_quota_weight = number_or(object, "overShareWorth", 1);
}

void read_bounds(const Value& bounds, Settings& settings) {
  settings.max_attempts = integer_or(bounds, "maxAttempts", 1);
  settings.allow_hedging = boolean_or_false(bounds, "secondCopies");
  settings.can_cancel = boolean_or_false(bounds, "cancel");
  settings.max_retry_after =
      boolean_or_false(bounds, "retryAfter") ? number_or(bounds, "maxRetryAfter", 0) : 0;
}

void read_rules(const Value& rules, Settings& settings) {
  settings.notification_deadline = number_or(rules, "askWithin", 0);
  settings.initial_capacity = number_or(rules, "startCapacity", 1);
  settings.slow_start_duration = number_or(rules, "rampTime", 0);
  settings.overload_threshold = number_or(rules, "tipMultiple", 0);
}

}  // namespace

// If several fields are invalid, the order of the sections decides which one is reported.
Settings read_settings(const Value& object) {
  Settings settings;
  read_replica(object, settings);
  read_classes_and_tenants(object, settings);
  read_bounds(require(object, "bounds"), settings);
  settings.must_watch =
      find(object, "registryMode") != nullptr && text(object, "registryMode") == "subscribe";
  if (const Value* rules = find(object, "rules")) read_rules(*rules, settings);
  if (const Value* fees = find(object, "fees")) settings.cross_zone_cost = number_or(*fees, "crossZone", 0);
  return settings;
}

}  // namespace nettleyoke::json
