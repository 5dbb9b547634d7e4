/// @file
/// What the pools, connections and attempts of one UpstreamClient share. They hold it by shared pointer, so
/// that a handler that is left in the event loop can see that the client is gone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>

#include "admin/metrics.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

/// Limits of all connections to servers.
struct UpstreamLimits {
  double connect_timeout = 0;       ///< s
  double server_idle_timeout = 0;   ///< s; a server may close a connection that has been idle this long
  std::size_t max_connections = 0;  ///< over all servers
};

struct UpstreamContext {
  boost::asio::io_context& io;
  MemoryBudget& budget;
  Metrics& metrics;
  UpstreamLimits limits;
  std::size_t connections = 0;  ///< open ones and those being connected, over all servers
  bool is_closed = false;       ///< the client is destroyed: handlers touch nothing but their own state
  /// Whether one more connection may be opened; closes the longest idle one if that is needed.
  std::function<bool()> ensure_capacity;
};

}  // namespace nettleyoke::node
