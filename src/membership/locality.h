/// @file
/// Which servers are in the replica's own zone.
#pragma once

#include "nettleyoke/events.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The replica's zone and the cost of a call to another one.
struct Locality {
  int zone = 0;
  double cross_zone_cost = 0;  ///< 0: all zones are alike.

  [[nodiscard]] static Locality of(const Settings& settings) {
    return {settings.zone, settings.cross_zone_cost};
  }

  /// Whether a call to the server costs more because it leaves the zone.
  [[nodiscard]] bool is_remote(const Server& server) const {
    return cross_zone_cost > 0 && server.zone != zone;
  }
};

}  // namespace nettleyoke
