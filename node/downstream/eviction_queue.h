/// @file
/// The connections that may be closed for others, and the order in which they are. Owns none of them and
/// never touches a socket.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <utility>

namespace nettleyoke::node {

/// @tparam Connection  has
///   - `bool is_quiet_for(std::chrono::steady_clock::duration) const`: whether it has sent nothing of a
///   request
///     for at least so long;
///   - `bool has_unread_bytes()`: whether bytes of it have come that are not read yet;
///   - `void evict()`: closes it, and takes it out of the queue.
///
/// A template, since a virtual call fails in a sanitized build whose process has no descriptor left: to check
/// the type of the object it opens a pipe.
template <typename Connection>
class EvictionQueue {
 public:
  using Duration = std::chrono::steady_clock::duration;

  enum class Kind {
    kUnproven,  ///< has never sent a valid request
    kIdle,      ///< between two requests
  };

  /// A new connection that has sent nothing for so long is not about to send its first request.
  static constexpr std::chrono::milliseconds kUnprovenQuietPeriod{500};
  /// A connection between two requests may be closed after so long, as the operators' terms have it.
  static constexpr std::chrono::seconds kIdleQuietPeriod{2};

  /// A connection's place in the queue. The connection takes itself out before it ends.
  class Place {
   public:
    bool is_taken() const { return list_ != nullptr; }
    /// Takes the connection out; does nothing where it is in no list.
    void leave() {
      if (list_ != nullptr) std::exchange(list_, nullptr)->erase(position_);
    }

   private:
    friend class EvictionQueue;
    std::list<Connection*>* list_ = nullptr;
    typename std::list<Connection*>::iterator position_;
  };

  EvictionQueue() = default;
  EvictionQueue(const EvictionQueue&) = delete;
  EvictionQueue& operator=(const EvictionQueue&) = delete;

  /// Appends a connection to one list, and takes it out of where it was.
  void add(Kind kind, Connection& connection, Place& place) {
    place.leave();
    place.list_ = kind == Kind::kIdle ? &idle_ : &unproven_;
    place.position_ = place.list_->insert(place.list_->end(), &connection);
  }
  /// Evicts the connection that is missed the least.
  ///
  /// By idle time alone, hundreds of connections that send nothing would push out the clients that wait
  /// between two requests. Unproven ones go first, the one that has been there the longest before the others.
  /// But one that is sending its first request, which may take it 2 s, stays while there are connections that
  /// may be closed without harm: those that sent one request and stay would push it out.
  /// @return false where none may be closed.
  [[nodiscard]] bool evict_one() {
    return evict_first(unproven_, kUnprovenQuietPeriod) || evict_first(idle_, kIdleQuietPeriod) ||
           evict_first(unproven_, Duration::zero()) || evict_first(idle_, Duration::zero());
  }
  std::size_t size() const { return unproven_.size() + idle_.size(); }

 private:
  /// Evicts the first connection with no unread bytes that has been quiet for a period; zero: for any.
  static bool evict_first(const std::list<Connection*>& connections, Duration quiet_period) {
    for (Connection* connection : connections) {
      if (quiet_period > Duration::zero() && !connection->is_quiet_for(quiet_period)) continue;
      if (connection->has_unread_bytes()) continue;
      connection->evict();
      return true;
    }
    return false;
  }

  std::list<Connection*> unproven_;
  std::list<Connection*> idle_;
};

}  // namespace nettleyoke::node
