#include "downstream/eviction_queue.h"

#include <utility>

namespace nettleyoke::node {

namespace {

using Duration = std::chrono::steady_clock::duration;

/// A connection between two requests may be closed after so long, as the operators' terms have it.
constexpr Duration kIdleQuietPeriod = std::chrono::seconds(2);

/// Evicts the first connection with no unread bytes that has been quiet for a period; zero: for any.
bool evict_first(const std::list<EvictableConnection*>& connections, Duration quiet_period) {
  for (EvictableConnection* connection : connections) {
    if (quiet_period > Duration::zero() && !connection->is_quiet_for(quiet_period)) continue;
    if (connection->has_unread_bytes()) continue;
    connection->evict();
    return true;
  }
  return false;
}

}  // namespace

void EvictionQueue::Place::leave() {
  if (list_ != nullptr) std::exchange(list_, nullptr)->erase(position_);
}

void EvictionQueue::add(Kind kind, EvictableConnection& connection, Place& place) {
  place.leave();
  place.list_ = kind == Kind::kIdle ? &idle_ : &unproven_;
  place.position_ = place.list_->insert(place.list_->end(), &connection);
}

bool EvictionQueue::evict_one() {
  return evict_first(unproven_, kUnprovenQuietPeriod) || evict_first(idle_, kIdleQuietPeriod) ||
         evict_first(unproven_, Duration::zero()) || evict_first(idle_, Duration::zero());
}

}  // namespace nettleyoke::node
