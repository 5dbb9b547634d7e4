/// @file
/// Writes the settings and the configuration of a node in an experiment as JSON, in the documented format of
/// the node. Only this file of the lab contains their keys.
#pragma once

#include <string>

#include "run/experiment.h"

namespace nettleyoke::lab {

/// A node's position among the replicas of its tier.
struct NodePosition {
  int tier = 0;
  std::string zone;
  int replica_index = 0, replica_count = 1;
};

/// The JSON object under `settings` in a node's configuration.
[[nodiscard]] std::string settings_json(const Experiment& experiment, const NodePosition& position);

/// The fields of a node's configuration that are not part of its settings and differ between nodes.
struct NodeIdentity {
  std::string name;
  std::string discovery;      ///< address of the node's discovery agent
  std::string endpoint_list;  ///< initial endpoint list, in discovery's JSON format
};

/// The complete configuration of a node as JSON.
[[nodiscard]] std::string node_config_json(const Experiment& experiment, const NodePosition& position,
                                           const NodeIdentity& identity);

}  // namespace nettleyoke::lab
