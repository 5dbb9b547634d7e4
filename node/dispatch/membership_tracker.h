/// @file
/// Tracks which servers are listed and which of them may get new attempts. Owns the current endpoint list and
/// the set of disabled servers; it does no I/O.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_list.h"
#include "nettleyoke/events.h"

namespace nettleyoke::node {

class MembershipTracker {
 public:
  /// Notified of each server in an update, in the order of the update, then of each server that a full list
  /// lacks.
  class Observer {
   public:
    Observer() = default;
    Observer(const Observer&) = delete;
    Observer& operator=(const Observer&) = delete;
    virtual ~Observer() = default;
    virtual void on_server_listed(const Endpoint& endpoint, bool usable) = 0;
    virtual void on_server_removed(const std::string& name) = 0;
  };

  /// Applies a full endpoint list or changes.
  /// @return the event for the decision library
  [[nodiscard]] MembershipUpdate apply(const EndpointList& update, Observer& observer);
  /// Replaces the set of disabled servers, which need not be listed.
  /// @return the names of the servers that were disabled or enabled by this call, sorted
  [[nodiscard]] std::vector<std::string> set_disabled(const std::set<std::string>& servers);

  bool is_listed(const std::string& name) const { return listed_endpoints_.contains(name); }
  bool is_disabled(const std::string& name) const { return disabled_.contains(name); }
  /// Whether a server is ready and not disabled, so that it may get new attempts.
  bool is_usable(const Endpoint& endpoint) const;
  /// @return null if the server is not listed
  [[nodiscard]] const Endpoint* find(const std::string& name) const;
  std::size_t listed_servers() const { return listed_endpoints_.size(); }
  /// The number of listed servers for which is_usable() holds.
  std::size_t usable_servers() const { return usable_servers_; }

 private:
  void remove_missing_servers(const std::set<std::string>& listed_names, Observer& observer);
  void count_usable();

  std::unordered_map<std::string, Endpoint> listed_endpoints_;
  std::set<std::string> disabled_;
  std::size_t usable_servers_ = 0;
};

}  // namespace nettleyoke::node
