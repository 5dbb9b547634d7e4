/// @file
/// The servers that a replica knows of.
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

/// One server: what discovery and the operators say of it, and each part's own state of it.
struct ServerRecord {
  Server advertised;                       ///< As it was advertised last.
  std::uint64_t order = 0;                 ///< Its place in the order that all replicas share.
  std::uint64_t list_version = 0;          ///< The membership update that advertised it last.
  bool administratively_disabled = false;  ///< By operators.
  bool is_subset_extra = false;  ///< In this replica's subset only while it is warming up; set by Subset.
  int attempt_references = 0;    ///< Attempts of open requests that name it, ended ones too.
  bool forgotten = false;        ///< Its index is free for another server.

  InFlightLoad in_flight;
  OutlierDetection outlier;
  SlowStart slow_start;
  ServerConcurrencyLimit capacity;
  RelativeLatency relative_latency;

  [[nodiscard]] bool may_get_calls() const {
    return advertised.state == ServerState::kReady && !administratively_disabled;
  }
};

/// Owns the records of all servers and the administrative state. A server keeps its index as long as open
/// requests refer to it; then the index is used again, so that the registry does not grow where new servers
/// come all day. It does not choose servers.
class ServerRegistry {
 public:
  /// Takes over a list or changes of it. MembershipUpdate::Form::kFailed has none and must not come here.
  /// @param random One draw is taken for each process that is new.
  void update(double now, const MembershipUpdate& update, RandomSource& random);

  /// Takes over what operators did, also for an address that is not advertised.
  /// @return Whether a known server has changed.
  [[nodiscard]] bool set_admin_state(double now, const ServerAdminStateChanged& change, RandomSource& random);

  /// An attempt of an open request names the server.
  void add_reference(std::size_t index) { records_[index].attempt_references += 1; }
  /// The request of such an attempt has ended.
  void release_reference(std::size_t index);

  [[nodiscard]] ServerRecord& operator[](std::size_t index) { return records_[index]; }
  [[nodiscard]] const ServerRecord& operator[](std::size_t index) const { return records_[index]; }
  /// Indices run from 0 to this; those of forgotten servers are among them.
  [[nodiscard]] std::size_t index_count() const { return records_.size(); }

  /// Servers that are advertised, or removed and still referred to.
  [[nodiscard]] std::size_t tracked_count() const { return records_.size() - free_indices_.size(); }
  /// Advertised servers that are administratively disabled or ejected.
  [[nodiscard]] std::size_t unavailable_count(double now) const;

 private:
  struct Slot {
    std::size_t index;
    bool is_new;
  };

  [[nodiscard]] Slot find_or_add(const std::string& address);
  void advertise(double now, const Server& server, RandomSource& random);
  void forget_if_unused(std::size_t index);

  std::vector<ServerRecord> records_;
  std::unordered_map<std::string, std::size_t> index_by_address_;
  std::vector<std::size_t> free_indices_;
  // Since when, advertised or not. Looked up, never walked: its order is not the same everywhere.
  std::unordered_map<std::string, double> disabled_since_;
  std::uint64_t list_version_ = 0;
};

}  // namespace nettleyoke
