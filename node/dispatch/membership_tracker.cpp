#include "dispatch/membership_tracker.h"

#include <algorithm>
#include <iterator>

namespace nettleyoke::node {

MembershipUpdate MembershipTracker::apply(const EndpointList& update, Observer& observer) {
  MembershipUpdate event;
  event.form = update.is_full ? MembershipUpdate::Form::kFull : MembershipUpdate::Form::kChanges;
  std::set<std::string> named;
  for (const Endpoint& endpoint : update.endpoints) {
    const std::string& name = endpoint.server.address;
    if (endpoint.server.state == ServerState::kRemoved) {
      observer.on_server_removed(name);
      listed_.erase(name);
    } else {
      listed_[name] = endpoint;
      observer.on_server_listed(endpoint, is_usable(endpoint));
    }
    named.insert(name);
    event.servers.push_back(endpoint.server);
  }
  if (update.is_full) remove_unnamed(named, observer);
  count_usable();
  return event;
}

// What a full list lacks is removed.
void MembershipTracker::remove_unnamed(const std::set<std::string>& named, Observer& observer) {
  for (auto entry = listed_.begin(); entry != listed_.end();) {
    if (named.contains(entry->first)) {
      ++entry;
    } else {
      observer.on_server_removed(entry->first);
      entry = listed_.erase(entry);
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
  const auto entry = listed_.find(name);
  return entry == listed_.end() ? nullptr : &entry->second;
}

void MembershipTracker::count_usable() {
  usable_servers_ = static_cast<std::size_t>(std::count_if(
      listed_.begin(), listed_.end(), [this](const auto& entry) { return is_usable(entry.second); }));
}

}  // namespace nettleyoke::node
