/// @file
/// Settings for tests of servers' capacity and health.
#pragma once

#include "balancer_harness.h"

namespace nettleyoke {

/// A quota that no test reaches: admission does not interfere.
inline Settings settings_with_large_quota() {
  Settings settings = basic_settings();
  settings.tenants = {{1000.0}};
  return settings;
}

}  // namespace nettleyoke
