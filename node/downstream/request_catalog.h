/// @file
/// What a request may name: the classes and tenants of the settings in force, and for a while after a reload
/// the classes before it. Pure data; knows nothing of connections.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "nettleyoke/settings.h"

namespace nettleyoke::node {

/// The request classes and tenants that a request may name.
struct RequestCatalog {
  std::vector<std::string> class_names;
  std::vector<std::string> tenant_names;
  /// Parallel to `class_names`.
  std::vector<RequestClass> classes;
  /// The first so many classes are in force. Those behind them were in force before a reload: clients learn
  /// of a change late.
  std::size_t in_force = 0;
};

/// The catalog that follows `before`: the classes of `settings` and, behind them, those of `before` that were
/// in force and have been removed or changed.
/// @param settings  gets the classes behind as well: the decision library knows classes by their index.
RequestCatalog next_catalog(const RequestCatalog& before, std::vector<std::string> class_names,
                            std::vector<std::string> tenant_names, Settings& settings);

}  // namespace nettleyoke::node
