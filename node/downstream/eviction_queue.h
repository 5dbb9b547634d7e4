/// @file
/// The connections that may be closed for others, and the order in which they are. Knows them by an
/// interface; owns none of them and never touches a socket.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>

namespace nettleyoke::node {

/// A connection as far as its eviction goes.
class EvictableConnection {
 public:
  virtual ~EvictableConnection() = default;
  EvictableConnection(const EvictableConnection&) = delete;
  EvictableConnection& operator=(const EvictableConnection&) = delete;

  /// Whether it has sent nothing of a request for at least so long.
  virtual bool is_quiet_for(std::chrono::steady_clock::duration period) const = 0;
  /// Whether bytes of it have come that are not read yet.
  virtual bool has_unread_bytes() = 0;
  /// Closes it; takes it out of the queue.
  virtual void evict() = 0;

 protected:
  EvictableConnection() = default;
};

class EvictionQueue {
 public:
  enum class Kind {
    kUnproven,  ///< has never sent a valid request
    kIdle,      ///< between two requests
  };

  /// A new connection that has sent nothing for so long is not about to send its first request.
  static constexpr std::chrono::milliseconds kUnprovenQuietPeriod{500};

  /// A connection's place in the queue. The connection takes itself out before it ends.
  class Place {
   public:
    bool is_taken() const { return list_ != nullptr; }
    /// Takes the connection out; does nothing where it is in no list.
    void leave();

   private:
    friend class EvictionQueue;
    std::list<EvictableConnection*>* list_ = nullptr;
    std::list<EvictableConnection*>::iterator position_;
  };

  EvictionQueue() = default;
  EvictionQueue(const EvictionQueue&) = delete;
  EvictionQueue& operator=(const EvictionQueue&) = delete;

  /// Appends a connection to one list, and takes it out of where it was.
  void add(Kind kind, EvictableConnection& connection, Place& place);
  /// Evicts the connection that is missed the least.
  ///
  /// By idle time alone, hundreds of connections that send nothing would push out the clients that wait
  /// between two requests. Unproven ones go first, the one that has been there the longest before the others.
  /// But one that is sending its first request, which may take it 2 s, stays while there are connections that
  /// may be closed without harm: those that sent one request and stay would push it out.
  /// @return false where none may be closed.
  [[nodiscard]] bool evict_one();
  std::size_t size() const { return unproven_.size() + idle_.size(); }

 private:
  std::list<EvictableConnection*> unproven_;
  std::list<EvictableConnection*> idle_;
};

}  // namespace nettleyoke::node
