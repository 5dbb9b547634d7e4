/// @file
/// The connections that may be closed to make capacity for new ones, and their order. Does not own the
/// connections and never uses a socket.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <utility>

namespace nettleyoke::node {

/// @tparam Connection  must have
///   - `bool is_quiet_for(std::chrono::steady_clock::duration) const`: whether it has been waiting for the
///     first byte of a request for at least that long;
///   - `bool has_unread_bytes()`: whether the client has sent bytes that have not been read yet;
///   - `void evict()`: closes the connection and removes it from the queue.
///
/// A template instead of an interface, because a virtual call fails in a sanitized build when the process has
/// no free descriptor: the sanitizer opens a pipe to check the type of the object.
template <typename Connection>
class EvictionQueue {
 public:
  using Duration = std::chrono::steady_clock::duration;

  enum class Kind {
    kUnproven,  ///< has never sent a valid request
    kIdle,      ///< between two requests
  };

  /// A new connection that has sent nothing for this long is not expected to send its first request soon.
  static constexpr std::chrono::milliseconds kUnprovenQuietPeriod{500};
  /// The operators allow closing a connection between two requests after this long.
  static constexpr std::chrono::seconds kIdleQuietPeriod{2};

  /// A connection's entry in the queue. The connection must remove it before it is destroyed.
  class Entry {
   public:
    bool is_queued() const { return list_ != nullptr; }
    /// Removes the connection from the queue; no effect if it is not queued.
    void remove() {
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

  /// Removes a connection from its present list, if any, and appends it to the list for `kind`.
  void add(Kind kind, Connection& connection, Entry& entry) {
    entry.remove();
    entry.list_ = kind == Kind::kIdle ? &idle_ : &unproven_;
    entry.position_ = entry.list_->insert(entry.list_->end(), &connection);
  }
  /// Evicts the connection whose loss does the least harm.
  ///
  /// If only idle time counted, hundreds of connections that send nothing would displace clients that wait
  /// between two requests. Therefore unproven connections are evicted first, starting with the oldest.
  /// However, an unproven connection may take 2 s to send its first request, and clients that sent one
  /// request and stay connected would displace it. Therefore an unproven connection that is not quiet is
  /// evicted only after the connections that have been idle for the permitted period.
  /// @return false if no connection may be closed.
  [[nodiscard]] bool evict_one() {
    return evict_first(unproven_, kUnprovenQuietPeriod) || evict_first(idle_, kIdleQuietPeriod) ||
           evict_first(unproven_, Duration::zero()) || evict_first(idle_, Duration::zero());
  }
  std::size_t size() const { return unproven_.size() + idle_.size(); }

 private:
  /// Evicts the first connection that has no unread bytes and has been quiet for `quiet_period`; zero skips
  /// the check for quiet.
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
