/// @file
/// Discovery's agent beside one node, by PROTOCOL: full lists and watches on loopback.
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

/// Answers one node with what has been published to it, and tells the checker when the node counts as
/// notified. It decides nothing about servers.
class DiscoveryAgent {
 public:
  struct Counters {
    std::size_t calls = 0, full_lists = 0;
    std::size_t changes = 0;  ///< sent over watches
    std::size_t bytes_in = 0, bytes_out = 0;
  };
  /// How a node learns of changes, which tells from when it counts as notified.
  enum class Notification {
    kAtOnce,        ///< as soon as the agent has them, unless its watch has stalled
    kWhileWatching  ///< at once only while it has a watch open
  };

  /// @param node its number in the checker
  DiscoveryAgent(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                 std::size_t node, Notification notification);
  ~DiscoveryAgent();
  DiscoveryAgent(const DiscoveryAgent&) = delete;
  DiscoveryAgent& operator=(const DiscoveryAgent&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return listener_.endpoint(); }
  const Counters& counters() const { return counters_; }
  std::uint64_t version() const { return catalog_.version(); }

  /// Discovery sends a version. While the agent is partitioned or discovery is down it learns nothing, and
  /// gets the last version when that is over.
  void publish(const EndpointCatalog& catalog);
  /// Discovery is down: the agent accepts connections and answers nothing.
  void set_down(bool is_down);
  /// Nothing reaches the agent from discovery; it still answers its node.
  void set_partitioned(bool is_partitioned);
  /// The agent hears of versions so many seconds late.
  void set_delay(double seconds) { delay_ = seconds; }
  void reset_watches();
  /// Open watches send nothing any more.
  void stall_watches();

 private:
  class Connection;
  void apply(const EndpointCatalog& catalog);
  void apply_missed();
  bool is_notified_at_once() const;
  void send_heartbeats();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  InvariantChecker& checker_;
  std::size_t node_;
  Notification notification_;
  net::LoopbackListener listener_;
  boost::asio::steady_timer heartbeat_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
  EndpointCatalog catalog_;                // what has been published to it
  std::optional<EndpointCatalog> missed_;  // the last version that did not reach it
  double delay_ = 0;
  bool is_down_ = false, is_partitioned_ = false;
  Counters counters_;
};

}  // namespace nettleyoke::lab
