/// @file
/// What the connections of one listener share. Outlives each connection's use of it: a connection forgets it
/// when it closes or is detached.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>

#include "admin/metrics.h"
#include "clock.h"
#include "dispatch/dispatcher.h"
#include "downstream/request_catalog.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

class ConnectionAdmission;
class GracefulShutdown;

/// What a reload replaces; a request keeps what it was accepted under.
struct RequestRules {
  RequestCatalog catalog;
  double busy_retry_after = 0;  ///< s; Retry-After of a request that is rejected for want of capacity
  /// Until then clients may name the classes that were in force before the last reload.
  Clock::Steady::time_point previous_classes_accepted_until = {};
};

struct ConnectionContext {
  boost::asio::io_context& io;
  MemoryBudget& budget;
  Dispatcher& dispatcher;
  Metrics& metrics;
  ConnectionAdmission& admission;
  GracefulShutdown& shutdown;
  RequestRules rules;
  /// A part of a body while it is parsed; of use to one connection at a time.
  std::array<char, std::size_t{16} * 1024> body_chunk{};
};

}  // namespace nettleyoke::node
