/// @file
/// The client-facing side of a node. Combines connection admission, graceful shutdown and the rules for
/// requests. Each ClientConnection reads its own requests and writes its own responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "admin/metrics.h"
#include "dispatch/dispatcher.h"
#include "downstream/connection_admission.h"
#include "downstream/connection_context.h"
#include "downstream/graceful_shutdown.h"
#include "downstream/request_catalog.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

class DownstreamServer {
 public:
  struct Limits {
    /// When this many are open, a new connection evicts another or, if none may be evicted, is rejected.
    std::size_t connections = 0;
    /// Further connections, which are accepted only to be sent a rejection. At the sum of both, accepting
    /// stops.
    std::size_t rejected_connections = 0;
    double overload_retry_after = 0;  ///< s; Retry-After when rejecting for lack of capacity; 0: none
  };

  /// @param budget,dispatcher,metrics  must outlive this object.
  DownstreamServer(boost::asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics);
  DownstreamServer(const DownstreamServer&) = delete;
  DownstreamServer& operator=(const DownstreamServer&) = delete;

  /// @throws boost::system::system_error if listening on the address fails.
  void listen(const boost::asio::ip::tcp::endpoint& address) { admission_.listen(address); }
  /// Serves on a listening socket that other processes hold too. A graceful shutdown leaves the connections
  /// in its queue to them.
  /// @throws boost::system::system_error if the descriptor cannot be used as a listener.
  void serve_on_inherited_listener(int listener) { admission_.serve_on_inherited_listener(listener); }
  /// Starts accepting connections.
  void start() { admission_.start(); }
  boost::asio::ip::tcp::endpoint local_endpoint() const { return admission_.local_endpoint(); }

  /// Applies the rules of a reload. A request keeps the rules that were in force when it was accepted.
  /// @param overload_retry_after  as in Limits.
  void replace_catalog(RequestCatalog catalog, double overload_retry_after);
  const RequestCatalog& catalog() const { return context_.rules.catalog; }

  /// Keeps accepting connections for a while and serving them a while longer, ensures that each accepted
  /// request gets its response before the process is killed, and posts `done` when no connection is left.
  /// With an inherited listener it stops accepting at once and closes each connection after its next
  /// response.
  void shut_down_gracefully(std::function<void()> done) { shutdown_.start(catalog(), std::move(done)); }
  bool is_shutting_down() const { return shutdown_.is_shutting_down(); }

 private:
  ConnectionContext context_;
  ConnectionAdmission admission_;
  GracefulShutdown shutdown_;
};

}  // namespace nettleyoke::node
