/// Puts a changed configuration file in force while the node serves.
///
/// All is read and found to be in order before the first part switches; from there on nothing can fail.
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
  /// What a reload reaches.
  struct Parts {
    const Clock& clock;
    Metrics& metrics;
    UpstreamClient& upstream;
    DiscoveryClient& discovery;
    Dispatcher& dispatcher;
    DownstreamServer& downstream;
  };

  /// @param path of the file.
  /// @param in_force the configuration in force, which a reload replaces.
  ConfigReloader(std::string path, Config& in_force, const Parts& parts);

  /// Reads the file again. A file that can't be used changes nothing; the log and the metrics say how it
  /// went.
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
