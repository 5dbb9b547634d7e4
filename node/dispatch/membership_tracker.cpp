#include "dispatch/membership_tracker.h"

#include <algorithm>
#include <iterator>

namespace nettleyoke::node {

MembershipUpdate MembershipTracker::apply(const EndpointList& update, Observer& observer) {
  MembershipUpdate event;
  event.form = update.is_full ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
  std::set<std::string> listed_names;
  for (const Endpoint& endpoint : update.endpoints) {
    const std::string& name = endpoint.server.address;
    if (endpoint.server.state == ServerState::kRemoved) {
      observer.on_server_removed(name);
      listed_endpoints_.erase(name);
    } else {
      listed_endpoints_[name] = endpoint;
      observer.on_server_listed(endpoint, is_usable(endpoint));
    }
    listed_names.insert(name);
    event.servers.push_back(endpoint.server);
  }
  if (update.is_full) remove_missing_servers(listed_names, observer);
  count_usable();
  return event;
}

// Removes the servers that a full list does not contain.
void MembershipTracker::remove_missing_servers(const std::set<std::string>& listed_names,
                                               Observer& observer) {
  for (auto entry = listed_endpoints_.begin(); entry != listed_endpoints_.end();) {
    if (listed_names.contains(entry->first)) {
      ++entry;
    } else {
      observer.on_server_removed(entry->first);
      entry = listed_endpoints_.erase(entry);
    }
  }
}

std::vector<std::string> MembershipTracker::set_disabled(const std::set<std::string>& servers) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(disabled_.begin(), disabled_.end(), servers.begin(), servers.end(),
                                std::back_inserter(changed));
  disabled_ = servers;
  count_usable();
  return changed;
}

bool MembershipTracker::is_usable(const Endpoint& endpoint) const {
  return endpoint.server.state == ServerState::kReady && !is_disabled(endpoint.server.address);
}

const Endpoint* MembershipTracker::find(const std::string& name) const {
  const auto entry = listed_endpoints_.find(name);
  return entry == listed_endpoints_.end() ? nullptr : &entry->second;
}

void MembershipTracker::count_usable() {
  usable_servers_ =
      static_cast<std::size_t>(std::count_if(listed_endpoints_.begin(), listed_endpoints_.end(),
                                             [this](const auto& entry) { return is_usable(entry.second); }));
}

}  // namespace nettleyoke::node
