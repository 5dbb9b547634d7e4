#include "admission/tenant_table.h"

#include <algorithm>
#include <utility>

namespace nettleyoke {

void TenantTable::replace(const Settings& settings) {
  std::vector<Tenant> tenants = settings.tenants;
  tenants.emplace_back();  // traffic without a tenant
  std::vector<std::shared_ptr<TenantRateLimiter>> replacements;
  for (const Tenant& tenant : tenants) {
    TenantRateLimiter limiter(tenant, settings);
    for (const auto& previous : limiters_) {
      if (!tenant.name.empty() && previous->name() == tenant.name) limiter.inherit(*previous);
    }
    replacements.push_back(std::make_shared<TenantRateLimiter>(std::move(limiter)));
  }
  limiters_ = std::move(replacements);
}

const std::shared_ptr<TenantRateLimiter>& TenantTable::at(std::size_t tenant) const {
  return limiters_[std::min(tenant, limiters_.size() - 1)];
}

}  // namespace nettleyoke
