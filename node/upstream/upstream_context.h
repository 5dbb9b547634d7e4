/// @file
/// State that the pools, connections and attempts of one UpstreamClient share. They hold it by shared
/// pointer, so that a handler that is still queued in the event loop can detect that the UpstreamClient is
/// destroyed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>

#include "admin/metrics.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

/// Limits for the connections to servers.
struct UpstreamLimits {
  double connect_timeout = 0;       ///< s
  double server_idle_timeout = 0;   ///< s; a server may close a connection after this idle time
  std::size_t max_connections = 0;  ///< over all servers
};

struct UpstreamContext {
  boost::asio::io_context& io;
  MemoryBudget& budget;
  Metrics& metrics;
  UpstreamLimits limits;
  std::size_t connections = 0;  ///< open ones and those being connected, over all servers
  bool is_closed = false;       ///< the UpstreamClient is destroyed: handlers may use only their own state
  /// Returns whether one more connection may be opened. At the limit, closes the connection that has been
  /// idle the longest to make capacity.
  std::function<bool()> ensure_capacity;
};

}  // namespace nettleyoke::node
