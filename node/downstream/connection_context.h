/// @file
/// State that all connections of one listener share. It must outlive each connection's use of it, which ends
/// when the connection closes or is detached.
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

/// The rules that a reload replaces. A request keeps the rules that were in force when it was accepted.
struct RequestRules {
  RequestCatalog catalog;
  double overload_retry_after = 0;  ///< s; Retry-After when rejecting for lack of capacity; 0: none
  /// Until this time clients may name the request classes that were in force before the last reload.
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
  /// Receives a part of a body from the parser; used by one connection at a time.
  std::array<char, std::size_t{16} * 1024> body_chunk{};
};

}  // namespace nettleyoke::node
