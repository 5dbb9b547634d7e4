/// @file
/// The entry to the servers: it owns a connection pool for each server and starts attempts on them. It never
/// chooses a server, and never sends a request twice.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "admin/metrics.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "upstream/attempt_types.h"
#include "upstream/upstream_context.h"

namespace nettleyoke::node {

class ServerPool;
class UpstreamAttempt;

/// Does not keep its attempt alive; an attempt that is over is no error for whoever names it.
using AttemptHandle = std::weak_ptr<UpstreamAttempt>;

class UpstreamClient {
 public:
  UpstreamClient(boost::asio::io_context& io, const UpstreamLimits& limits, MemoryBudget& budget,
                 Metrics& metrics);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// For connections that are opened, or become idle, from here on.
  /// @param connect_timeout s
  /// @param server_idle_timeout s
  void set_timeouts(double connect_timeout, double server_idle_timeout);
  /// Where a server listens, and whether it may get new work.
  /// @param started s on the node's clock; tells one process of the server from the next
  void update_server(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                     double started, bool usable);
  /// It has left the endpoint list: attempts that are on a connection go on, nothing new is to come.
  void remove_server(const std::string& server);

  /// Sends a request once and reports exactly once, never from within this call.
  AttemptHandle start_attempt(const std::string& server,
                              const std::shared_ptr<const OutgoingRequest>& request,
                              const AttemptTimes& times, AttemptCallbacks callbacks);
  /// Closes the attempt's connection; it is reported as Outcome::kCancelled, unless its end is on its way
  /// already.
  void cancel(const AttemptHandle& handle);
  /// The same, but only if its last byte is not written yet: nobody waits for what it would bring about.
  void withdraw_unsent(const AttemptHandle& handle);

  /// Open connections to servers, and those being connected.
  std::size_t connections() const { return context_->connections; }

 private:
  bool ensure_capacity();

  std::shared_ptr<UpstreamContext> context_;
  std::map<std::string, std::shared_ptr<ServerPool>> pools_;
};

}  // namespace nettleyoke::node
