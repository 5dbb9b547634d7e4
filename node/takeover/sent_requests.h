/// @file
/// The requests that must not be sent again under the same id, because they may have run and their client may
/// not have the answer. With a shared directory, all processes of a node know them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "takeover/shared_id_table.h"

namespace nettleyoke::node {

class SentRequests {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// How long a request is remembered. Clients that send a request again do so within seconds.
  static constexpr std::chrono::seconds kRetention{60};
  /// The most requests that are remembered; beyond it the oldest are forgotten.
  static constexpr std::size_t kMaxRequests = 16384;

  /// @param directory of the state that the processes of a node share; if empty, only this process knows them
  explicit SentRequests(const std::string& directory) : shared_(directory) {}

  void add(const std::string& id, TimePoint now);
  /// Forgets a request: it has not run, or its client has the answer.
  void remove(const std::string& id);
  [[nodiscard]] bool contains(const std::string& id, TimePoint now);

 private:
  struct Entry {
    std::uint64_t hash;
    TimePoint expires_at;
  };

  void remove_entry(std::uint64_t hash);
  void remove_expired(TimePoint now);

  SharedIdTable shared_;
  std::list<Entry> entries_;  // in the order of their expiry
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entry_of_hash_;
};

}  // namespace nettleyoke::node
