/// @file
/// The clients' side of a node. Puts its parts together: admission of connections, graceful shutdown, and the
/// rules that requests are read by. Each connection reads and answers for itself.
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
    std::size_t connections = 0;  ///< beyond it, idle ones are evicted and new ones rejected
    std::size_t overflow = 0;     ///< how many more may be open; beyond, nothing is accepted
    double busy_retry_after =
        0;  ///< s; Retry-After of a request that is rejected for want of capacity; 0: none
  };

  /// @param budget,dispatcher,metrics  have to outlive this.
  DownstreamServer(boost::asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics);
  DownstreamServer(const DownstreamServer&) = delete;
  DownstreamServer& operator=(const DownstreamServer&) = delete;

  /// @throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& address) { admission_.listen(address); }
  /// Serves on a listening socket that others hold too: a graceful shutdown leaves what waits there to them.
  void serve_on_inherited_listener(int listener) { admission_.serve_on_inherited_listener(listener); }
  /// Accepts connections from here on.
  void start() { admission_.start(); }
  boost::asio::ip::tcp::endpoint local() const { return admission_.local_endpoint(); }

  /// Other settings; requests that were accepted go on by the rules they came under.
  /// @param busy_retry_after  as in Limits.
  void replace_catalog(RequestCatalog catalog, double busy_retry_after);
  const RequestCatalog& catalog() const { return context_.rules.catalog; }

  /// Shuts down gracefully: goes on accepting for a while and serving for a while longer, sees to it that all
  /// that was accepted is answered before the node is killed, and calls `done` when no connection is left.
  /// With an inherited listener it stops accepting at once, and closes each connection with its next answer.
  void drain(std::function<void()> done) { shutdown_.start(catalog(), std::move(done)); }
  bool draining() const { return shutdown_.is_draining(); }

 private:
  ConnectionContext context_;
  ConnectionAdmission admission_;
  GracefulShutdown shutdown_;
};

}  // namespace nettleyoke::node
