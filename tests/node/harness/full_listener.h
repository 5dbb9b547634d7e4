/// @file
/// A server that accepts a connection only when the test says so.
#pragma once

#include <set>
#include <string>

#include "harness/eventually.h"
#include "harness/file_descriptor.h"

namespace nettleyoke::node {

/// A listening socket with room for one connection in its queue. Once fill_queue() has taken that, a connect
/// to it stays under way until accept() frees the place.
class FullListener {
 public:
  FullListener();
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Takes the one place in the queue.
  void fill_queue();
  /// Whether a connection waits to be accepted.
  bool has_waiting() const;
  /// The next connection that is not that of fill_queue(); none after kWaitLimit.
  FileDescriptor accept();
  /// The connects to it that are under way, as the system tells, by where they come from.
  std::set<std::string> pending_connect_sources() const;
  int pending_connects() const { return static_cast<int>(pending_connect_sources().size()); }
  /// Whether just so many connects come to be under way.
  bool eventually_has_pending_connects(int count) const {
    return eventually([&] { return pending_connects() == count; });
  }

 private:
  FileDescriptor listener_;
  FileDescriptor filler_;
  int port_ = 0;
};

}  // namespace nettleyoke::node
