/// @file
/// Distinguishes servers of the local zone from servers of remote zones.
#pragma once

#include "nettleyoke/events.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The replica's zone and the cost of a request to another one.
struct Locality {
  int zone = 0;
  double cross_zone_cost = 0;  ///< 0: no zone is preferred.

  [[nodiscard]] static Locality of(const Settings& settings) {
    return {settings.zone, settings.cross_zone_cost};
  }

  /// Whether the server is in a remote zone and cross-zone requests have a cost.
  [[nodiscard]] bool is_remote(const Server& server) const {
    return cross_zone_cost > 0 && server.zone != zone;
  }
};

}  // namespace nettleyoke
