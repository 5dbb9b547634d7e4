/// @file
/// Puts a changed configuration file in force while the node serves.
///
/// Reads and checks the whole file before it changes any part of the node. Applying the changes cannot fail.
#pragma once

#include <string>

#include "admin/metrics.h"
#include "clock.h"
#include "config.h"
#include "discovery/discovery_client.h"
#include "dispatch/dispatcher.h"
#include "downstream/downstream_server.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

class ConfigReloader {
 public:
  /// The parts of the node that a reload changes, and the clock.
  struct Parts {
    const Clock& clock;
    Metrics& metrics;
    UpstreamClient& upstream;
    DiscoveryClient& discovery;
    Dispatcher& dispatcher;
    DownstreamServer& downstream;
  };

  /// @param path of the configuration file
  /// @param in_force the configuration in force; a successful reload overwrites it
  ConfigReloader(std::string path, Config& in_force, const Parts& parts);

  /// Reads the file again and applies it. An invalid file changes nothing. Reports success or failure in the
  /// log and the metrics.
  void reload();

 private:
  struct Prepared {
    Config config;
    RequestCatalog catalog;
  };

  [[nodiscard]] Prepared prepare() const;
  void apply(Prepared prepared);

  std::string path_;
  Config& in_force_;
  Parts parts_;
};

}  // namespace nettleyoke::node
