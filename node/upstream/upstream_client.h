/// @file
/// Sends requests to servers: owns a connection pool for each server and starts attempts on them. Does not
/// choose servers and does not retry.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "admin/metrics.h"
#include "clock.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "upstream/attempt_types.h"
#include "upstream/upstream_context.h"

namespace nettleyoke::node {

class ServerPool;
class UpstreamAttempt;

/// Refers to an attempt without keeping it alive. It may be used after the attempt has ended.
using AttemptHandle = std::weak_ptr<UpstreamAttempt>;

class UpstreamClient {
 public:
  UpstreamClient(boost::asio::io_context& io, const UpstreamLimits& limits, MemoryBudget& budget,
                 Metrics& metrics);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Sets the timeouts of connections that are opened or become idle after this call.
  /// @param connect_timeout s
  /// @param server_idle_timeout s
  void set_timeouts(double connect_timeout, double server_idle_timeout);
  /// Adds a server or updates it.
  /// @param started_at when the server's process started, s on the node's clock; identifies the process
  /// @param usable whether the server may get new requests
  void update_server(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                     double started_at, bool usable);
  /// Removes a server that is no longer in the endpoint list. Attempts that have a connection continue;
  /// waiting attempts fail.
  void remove_server(const std::string& server);

  /// Sends a request once. `callbacks` reports the outcome exactly once, never inside this call.
  AttemptHandle start_attempt(const std::string& server,
                              const std::shared_ptr<const OutgoingRequest>& request,
                              const AttemptTimeLimits& limits, AttemptCallbacks callbacks);
  /// Ends an attempt and closes its connection. The outcome is Outcome::kCancelled, unless another outcome is
  /// already about to be reported.
  void cancel(const AttemptHandle& handle);
  /// Sets when the time of the attempt's request ends (see AttemptTimeLimits::request_time).
  static void set_request_end(const AttemptHandle& handle, Clock::Steady::time_point end);
  /// Cancels an attempt whose result no client waits for, unless its server has received the whole request
  /// (see UpstreamAttempt::cancel_undelivered).
  void cancel_undelivered(const AttemptHandle& handle);

  /// Open connections to servers, and those being connected.
  std::size_t connections() const { return context_->connections; }

 private:
  bool ensure_capacity();

  std::shared_ptr<UpstreamContext> context_;
  std::map<std::string, std::shared_ptr<ServerPool>> pools_;
};

}  // namespace nettleyoke::node
