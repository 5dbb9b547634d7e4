/// @file
/// Discovery's endpoint list and its history, in discovery's JSON format. Does no I/O.
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
  std::int64_t since_ms = 0;  ///< Unix time of the server's start in ms; 0: unknown, counts as long ago
};

/// Each change creates a new version, starting at 1; version 0 is the empty list.
class EndpointCatalog {
 public:
  std::uint64_t version() const { return version_; }
  /// Adds or replaces the entry with this name; status kRemoved removes it.
  void set(const EndpointEntry& entry);
  /// The listed entries, by name.
  const std::map<std::string, EndpointEntry>& entries() const { return entries_; }
  /// The complete list as JSON.
  [[nodiscard]] std::string full_list() const;
  /// The changes after a version as JSON: only the last state of each changed server.
  /// @return nullopt for a version newer than the current one
  [[nodiscard]] std::optional<std::string> changes_after(std::uint64_t version) const;
  /// All changes after a version, in order.
  [[nodiscard]] std::vector<EndpointEntry> history_after(std::uint64_t version) const;

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, EndpointEntry> entries_;
  std::vector<EndpointEntry> history_;  // element i is the change that created version i + 1
};

}  // namespace nettleyoke::lab
