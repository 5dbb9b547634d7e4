/// @file
/// Stand-in for the discovery agent of one node, as the protocol specification (PROTOCOL)
/// requires: it serves full lists and watches on loopback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "net/loopback.h"
#include "stand_ins/endpoint_catalog.h"

namespace nettleyoke::lab {

/// Serves the published endpoint lists to one node and reports to the checker when the node counts as
/// notified. It makes no decisions about servers.
class DiscoveryAgent {
 public:
  struct Counters {
    std::size_t calls = 0;       ///< requests received
    std::size_t full_lists = 0;  ///< sent
    std::size_t changes = 0;     ///< sent over watches
    std::size_t bytes_in = 0, bytes_out = 0;
  };
  /// When a node counts as notified of a change.
  enum class Notification {
    kImmediate,     ///< as soon as the agent has the change, unless the node's watch has stalled
    kWhileWatching  ///< immediately only while the node has an open watch
  };

  /// @param node the number of the node in the invariant checker
  DiscoveryAgent(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                 std::size_t node, Notification notification);
  ~DiscoveryAgent();
  DiscoveryAgent(const DiscoveryAgent&) = delete;
  DiscoveryAgent& operator=(const DiscoveryAgent&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return listener_.endpoint(); }
  const Counters& counters() const { return counters_; }
  std::uint64_t version() const { return catalog_.version(); }

  /// Publishes a list version to the agent, after the delay from set_delay(). While the agent is partitioned
  /// or discovery is down, the agent does not apply the version; it applies the last one when both have
  /// ended.
  void publish(const EndpointCatalog& catalog);
  /// Sets whether discovery is down: the agent then accepts connections but sends no response.
  void set_down(bool is_down);
  /// Sets whether the agent is partitioned from discovery: it then gets no versions but still serves its
  /// node.
  void set_partitioned(bool is_partitioned);
  /// Delays each published version by `seconds`.
  void set_delay(double seconds) { delay_ = seconds; }
  void reset_watches();
  /// Stalls the open watches: they stay connected but send nothing more.
  void stall_watches();

 private:
  class Connection;
  void apply(const EndpointCatalog& catalog);
  void apply_missed();
  bool is_notified_immediately() const;
  void send_heartbeats();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  InvariantChecker& checker_;
  std::size_t node_;
  Notification notification_;
  net::LoopbackListener listener_;
  boost::asio::steady_timer heartbeat_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
  EndpointCatalog catalog_;                // the last version applied
  std::optional<EndpointCatalog> missed_;  // the last version not applied while down or partitioned
  double delay_ = 0;
  bool is_down_ = false, is_partitioned_ = false;
  Counters counters_;
};

}  // namespace nettleyoke::lab
