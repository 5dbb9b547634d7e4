/// @file
/// The servers that a replica tracks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "capacity/concurrency_limits.h"
#include "capacity/in_flight_load.h"
#include "health/outlier_detection.h"
#include "health/slow_start.h"
#include "nettleyoke/events.h"
#include "selection/relative_latency.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// One server: its state in discovery, its administrative state and what each module tracks about it.
struct ServerRecord {
  Server advertised;                       ///< As discovery last reported it.
  std::uint64_t sort_key = 0;              ///< Hash of the address: all replicas sort servers alike.
  std::uint64_t list_version = 0;          ///< Number of the last membership update that contained it.
  bool administratively_disabled = false;  ///< Disabled by an operator.
  bool is_subset_extra = false;  ///< In this replica's subset only while it is warming up; set by Subset.
  int attempt_references = 0;    ///< Open and ended attempts of open requests that refer to it.
  bool is_free = false;          ///< The index may be given to another server.

  InFlightLoad in_flight;
  OutlierDetection outlier;
  SlowStart slow_start;
  ServerConcurrencyLimit capacity;
  RelativeLatency relative_latency;

  [[nodiscard]] bool accepts_attempts() const {
    return advertised.state == ServerState::kReady && !administratively_disabled;
  }
};

/// Owns the records of all servers and the administrative state. A server keeps its index while it is listed
/// or open requests refer to it. Afterwards the index is reused, so that the registry does not grow when
/// servers are replaced again and again. Does not select servers.
class ServerRegistry {
 public:
  /// Applies a complete list or a list of changes.
  /// @param update Of any form but MembershipUpdate::Form::kFailed, which has no servers.
  /// @param random One draw is taken for each new process.
  void update(double now, const MembershipUpdate& update, RandomSource& random);

  /// Applies an administrative state; the address need not be listed.
  /// @return Whether a tracked server has changed.
  [[nodiscard]] bool set_admin_state(double now, const ServerAdminStateChanged& change, RandomSource& random);

  /// Adds a reference of an attempt to its server.
  void add_reference(std::size_t index) { records_[index].attempt_references += 1; }
  /// Removes the reference of an attempt, once its request is closed.
  void release_reference(std::size_t index);

  [[nodiscard]] ServerRecord& operator[](std::size_t index) { return records_[index]; }
  [[nodiscard]] const ServerRecord& operator[](std::size_t index) const { return records_[index]; }
  /// Number of indices, free ones included.
  [[nodiscard]] std::size_t index_count() const { return records_.size(); }

  /// Number of servers that are listed, or removed and still referred to.
  [[nodiscard]] std::size_t tracked_count() const { return records_.size() - free_indices_.size(); }
  /// Number of listed servers that are administratively disabled or ejected.
  [[nodiscard]] std::size_t unavailable_count(double now) const;

 private:
  struct Slot {
    std::size_t index;
    bool is_new;
  };

  [[nodiscard]] Slot find_or_add(const std::string& address);
  void update_server(double now, const Server& server, RandomSource& random);
  void free_if_unused(std::size_t index);

  std::vector<ServerRecord> records_;
  std::unordered_map<std::string, std::size_t> index_by_address_;
  std::vector<std::size_t> free_indices_;
  // When each disabled address was disabled, s; the address need not be listed. Never iterated, because its
  // order differs between platforms.
  std::unordered_map<std::string, double> disabled_since_;
  std::uint64_t list_version_ = 0;
};

}  // namespace nettleyoke
