#include "downstream/request_catalog.h"

#include <algorithm>
#include <utility>

namespace nettleyoke::node {

namespace {

bool is_same_class(const RequestClass& left, const RequestClass& right) {
  return left.latency_objective == right.latency_objective &&
         left.objective_growth == right.objective_growth && left.client_timeout == right.client_timeout &&
         left.late_value == right.late_value && left.idempotency == right.idempotency &&
         left.dedup_scope == right.dedup_scope && left.dedup_window == right.dedup_window;
}

/// Whether the class at `index` of `before` is in force in `next` under the same name and with the same
/// values.
bool is_still_in_force(const RequestCatalog& before, std::size_t index, const RequestCatalog& next) {
  const auto found = std::find(next.class_names.begin(), next.class_names.end(), before.class_names[index]);
  const auto next_index = static_cast<std::size_t>(found - next.class_names.begin());
  return next_index < next.in_force_count && is_same_class(next.classes[next_index], before.classes[index]);
}

}  // namespace

RequestCatalog next_catalog(const RequestCatalog& before, std::vector<std::string> class_names,
                            std::vector<std::string> tenant_names, Settings& settings) {
  RequestCatalog next{std::move(class_names), std::move(tenant_names), settings.classes,
                      settings.classes.size()};
  for (std::size_t i = 0; i < before.in_force_count; ++i) {
    if (is_still_in_force(before, i, next)) continue;
    next.class_names.push_back(before.class_names[i]);
    next.classes.push_back(before.classes[i]);
    settings.classes.push_back(before.classes[i]);
  }
  return next;
}

}  // namespace nettleyoke::node
