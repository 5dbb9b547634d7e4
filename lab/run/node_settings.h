/// @file
/// The settings and the configuration that an experiment gives to a node, as JSON by the published pages.
/// This is the one place of the lab that knows their keys.
#pragma once

#include <string>

#include "run/experiment.h"

namespace nettleyoke::lab {

/// Where a node stands in its tier.
struct NodePosition {
  int tier = 0;
  std::string zone;
  int replica_index = 0, replica_count = 1;
};

/// The object that a node's configuration holds under `settings`.
[[nodiscard]] std::string settings_json(const Experiment& experiment, const NodePosition& position);

/// What a node's configuration has beside its settings.
struct NodeIdentity {
  std::string name;
  std::string discovery;      ///< the address of its agent
  std::string endpoint_list;  ///< the list that it starts with, as discovery's JSON
};

/// A whole configuration.
[[nodiscard]] std::string node_config_json(const Experiment& experiment, const NodePosition& position,
                                           const NodeIdentity& identity);

}  // namespace nettleyoke::lab
