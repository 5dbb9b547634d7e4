/// @file
/// Which servers are listed and which of them may get new work. It owns the endpoint list in force and the
/// set of administratively disabled servers; it never talks to discovery or to a server.
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
  /// Hears of each server whose entry changes, in the order of the list.
  class Observer {
   public:
    Observer() = default;
    Observer(const Observer&) = delete;
    Observer& operator=(const Observer&) = delete;
    virtual ~Observer() = default;
    virtual void on_server_listed(const Endpoint& endpoint, bool usable) = 0;
    virtual void on_server_removed(const std::string& name) = 0;
  };

  /// @return the event for the decision library
  [[nodiscard]] MembershipUpdate apply(const EndpointList& update, Observer& observer);
  /// Takes the set of disabled servers, listed or not.
  /// @return the names that were put in or taken out, in order
  [[nodiscard]] std::vector<std::string> set_disabled(const std::set<std::string>& servers);

  bool is_listed(const std::string& name) const { return listed_.contains(name); }
  bool is_disabled(const std::string& name) const { return disabled_.contains(name); }
  /// Whether a server may get new work.
  bool is_usable(const Endpoint& endpoint) const;
  /// @return the entry of a server, or null
  [[nodiscard]] const Endpoint* find(const std::string& name) const;
  std::size_t listed_servers() const { return listed_.size(); }
  /// Listed servers that may get new work.
  std::size_t usable_servers() const { return usable_servers_; }

 private:
  void remove_unnamed(const std::set<std::string>& named, Observer& observer);
  void count_usable();

  std::unordered_map<std::string, Endpoint> listed_;
  std::set<std::string> disabled_;
  std::size_t usable_servers_ = 0;
};

}  // namespace nettleyoke::node
