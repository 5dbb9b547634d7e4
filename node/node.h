/// A load-balancer node: its parts, how they are wired, and the phases of its life.
///
/// Owns all parts and the configuration in force. It takes no part in serving a request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "config.h"
#include "descriptor_budget.h"
#include "discovery/discovery_client.h"
#include "dispatch/dispatcher.h"
#include "downstream/downstream_server.h"
#include "event_loop.h"
#include "listen_retry.h"
#include "reload.h"
#include "takeover/disabled_servers.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

/// What a node is started with.
struct Startup {
  std::string config_path;  ///< read again at a reload
  Config config;
  std::optional<int> inherited_listener;  ///< the clients' listening socket, in a takeover
  std::string state_directory;            ///< for what processes share; empty for none
};

class Node {
 public:
  enum class Result {
    kStopped,      ///< by a signal, with all requests answered
    kStartFailed,  ///< an address can't be listened on; the reason is on standard error
  };

  /// @throws std::invalid_argument for settings that the decision library doesn't take.
  Node(EventLoop& loop, Startup startup);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts, serves and drains; returns when the node has ended.
  [[nodiscard]] Result run();

 private:
  DiscoveryClient::Listener discovery_listener();
  AdminServer::Handlers admin_handlers();
  ConfigReloader::Parts reloaded_parts();

  void start();
  void listen_for_operators();
  void on_operators_listening(boost::system::error_code error);
  void listen_for_clients();
  void on_clients_listening(boost::system::error_code error);
  void abort_start(const char* step, boost::system::error_code error);
  void await_reload();
  void await_stop();
  void drain();

  bool is_ready() const;
  std::string set_server(const std::string& id, bool enable);

  EventLoop& loop_;
  Startup startup_;
  Config& config_;  // in force
  DescriptorBudget descriptors_;
  Metrics metrics_;
  UpstreamClient upstream_;
  DiscoveryClient discovery_;
  Dispatcher dispatcher_;
  DownstreamServer downstream_;
  DisabledServers disabled_servers_;
  AdminServer admin_server_;
  ConfigReloader reloader_;
  ListenRetry operators_listen_;
  ListenRetry clients_listen_;
  Result result_ = Result::kStopped;
};

}  // namespace nettleyoke::node
