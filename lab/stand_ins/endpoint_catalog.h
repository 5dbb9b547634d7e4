/// @file
/// The endpoint list that discovery holds, with its history, in discovery's own JSON. Knows nothing of
/// sockets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nettleyoke::lab {

enum class EndpointStatus { kUp, kDraining, kRemoved };

/// A server as discovery lists it.
struct EndpointEntry {
  std::string name, address, zone;
  EndpointStatus status = EndpointStatus::kUp;
  std::int64_t since_ms = 0;  ///< Unix time of its start in ms; 0: long ago
};

/// Each change makes a new version, from 1 on; version 0 is the empty list.
class EndpointCatalog {
 public:
  std::uint64_t version() const { return version_; }
  /// Adds or changes an entry, or removes the one of that name.
  void set(const EndpointEntry& entry);
  /// The listed entries, by name.
  const std::map<std::string, EndpointEntry>& entries() const { return entries_; }
  /// The complete list as JSON.
  [[nodiscard]] std::string full_list() const;
  /// What changed after a version, as JSON: of each server its last state alone.
  /// @return nothing for a version that there never was
  [[nodiscard]] std::optional<std::string> changes_after(std::uint64_t version) const;
  /// Each change after a version.
  [[nodiscard]] std::vector<EndpointEntry> history_after(std::uint64_t version) const;

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, EndpointEntry> entries_;
  std::vector<EndpointEntry> history_;  // the change that made version i + 1
};

}  // namespace nettleyoke::lab
