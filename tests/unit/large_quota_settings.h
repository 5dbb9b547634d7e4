/// @file
/// Settings for tests of server capacity and outlier detection, in which no tenant exceeds its quota.
#pragma once

#include "balancer_harness.h"

namespace nettleyoke {

/// Settings with one tenant, whose quota of 1000 requests/s no test reaches, so that its rate limit rejects
/// nothing.
inline Settings settings_with_large_quota() {
  Settings settings = basic_settings();
  settings.tenants = {{1000.0}};
  return settings;
}

}  // namespace nettleyoke
