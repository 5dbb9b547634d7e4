/// @file
/// The rate limiters of all tenants.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "admission/tenant_rate_limiter.h"

namespace nettleyoke {

/// Owns one rate limiter for each configured tenant and one for traffic without a tenant. Requests share
/// ownership of their limiter, because they may end after their tenant was removed from the settings.
class TenantTable {
 public:
  /// Applies the tenants of new settings. A tenant keeps what was learned for the tenant of the same name.
  void replace(const Settings& settings);

  /// @param tenant Index into Settings::tenants; out of range: the limiter of traffic without a tenant.
  [[nodiscard]] const std::shared_ptr<TenantRateLimiter>& at(std::size_t tenant) const;

 private:
  std::vector<std::shared_ptr<TenantRateLimiter>> limiters_;
};

}  // namespace nettleyoke
