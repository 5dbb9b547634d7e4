/// @file
/// A listening socket whose queue is full, so that connects to it stay pending.
#pragma once

#include <set>
#include <string>

#include "harness/eventually.h"
#include "harness/file_descriptor.h"

namespace nettleyoke::node {

/// A listening socket whose queue holds one connection. After fill_queue() has taken that place, a connect to
/// the socket stays pending until accept() frees the place.
class FullListener {
 public:
  FullListener();
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Sets the size of the receive buffers of connections that arrive later.
  /// @param bytes the size; the system may round it up
  void set_receive_buffer(int bytes) const;
  /// Opens a connection that takes the only place in the queue.
  void fill_queue();
  /// Whether a connection is waiting to be accepted.
  bool has_waiting_connection() const;
  /// Accepts the next connection, other than the one of fill_queue().
  /// @return no descriptor if none arrives within kWaitLimit
  FileDescriptor accept();
  /// @return the source address and port of each connect to this socket that is pending, from /proc/net/tcp
  std::set<std::string> pending_connect_sources() const;
  int pending_connects() const { return static_cast<int>(pending_connect_sources().size()); }
  /// Waits until the number of pending connects is `count`.
  /// @return whether it was within kWaitLimit
  bool eventually_has_pending_connects(int count) const {
    return eventually([&] { return pending_connects() == count; });
  }

 private:
  FileDescriptor listener_;
  FileDescriptor filler_;
  int port_ = 0;
};

}  // namespace nettleyoke::node
