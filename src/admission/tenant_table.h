/// @file
/// The rate limiters of all tenants.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "admission/tenant_rate_limiter.h"

namespace nettleyoke {

/// Owns one rate limiter for each tenant of the settings and one for traffic without a tenant. Requests share
/// a limiter with the table, so that one whose tenant is gone from the settings can still end.
class TenantTable {
 public:
  /// Takes over the tenants of new settings; what was learned of a tenant of the same name is kept.
  void replace(const Settings& settings);

  /// @param tenant Index into Settings::tenants; out of range: the limiter of traffic without a tenant.
  [[nodiscard]] const std::shared_ptr<TenantRateLimiter>& at(std::size_t tenant) const;

 private:
  std::vector<std::shared_ptr<TenantRateLimiter>> limiters_;
};

}  // namespace nettleyoke
