/// @file
/// The names that a request may use: the classes and tenants of the settings in force and, for a while after
/// a reload, the previous classes. Data only; independent of connections.
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
  /// The first `in_force_count` classes are in force. The classes after them were in force before the last
  /// reload; they are kept because clients learn of a change late.
  std::size_t in_force_count = 0;
};

/// Returns the catalog that replaces `before` at a reload: the classes of `settings`, followed by the classes
/// that were in force in `before` and have been removed or changed.
/// @param settings  gets these previous classes appended too, because the decision library identifies a class
/// by its index.
RequestCatalog next_catalog(const RequestCatalog& before, std::vector<std::string> class_names,
                            std::vector<std::string> tenant_names, Settings& settings);

}  // namespace nettleyoke::node
