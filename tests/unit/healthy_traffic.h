/// @file
/// Settings for tests of the capacity and health of servers.
#pragma once

#include "balancer_harness.h"

namespace nettleyoke {

/// Settings with a quota that no test reaches, so that admission rejects nothing.
inline Settings settings_with_large_quota() {
  Settings settings = basic_settings();
  settings.tenants = {{1000.0}};
  return settings;
}

}  // namespace nettleyoke
