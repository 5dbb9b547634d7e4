/// @file
/// A load-balancer node: connects its parts, starts them and shuts them down.
///
/// Owns all parts and the configuration in force. It is not involved in serving a request.
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
#include "takeover/sent_requests.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

/// The inputs of a node at its start.
struct Startup {
  std::string config_path;  ///< file that a reload reads again
  Config config;
  std::optional<int> inherited_listener;  ///< client listener that is shared during a process takeover
  std::string state_directory;            ///< for state that the processes share; empty: none
};

class Node {
 public:
  enum class Result {
    kStopped,      ///< stopped by a signal, after all requests got a final answer
    kStartFailed,  ///< listening on an address failed; the reason is on standard error
  };

  /// @throws std::invalid_argument for settings that the decision library rejects.
  Node(EventLoop& loop, Startup startup);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts, serves and shuts down gracefully; returns when the node has stopped.
  [[nodiscard]] Result run();

 private:
  DiscoveryClient::Listener discovery_listener();
  AdminServer::Handlers admin_handlers();
  ConfigReloader::Parts reloadable_parts();

  void start();
  void start_admin_server();
  void on_admin_listening(boost::system::error_code error);
  void start_client_listener();
  void on_client_listening(boost::system::error_code error);
  void abort_start(const char* failure, boost::system::error_code error);
  void await_reload_signal();
  void await_stop_signal();
  void shut_down_gracefully();

  bool is_ready() const;
  std::string set_server_enabled(const std::string& id, bool enable);

  EventLoop& loop_;
  Startup startup_;
  Config& config_;  // the configuration in force, which is `startup_.config`
  DescriptorBudget descriptors_;
  Metrics metrics_;
  UpstreamClient upstream_;
  SentRequests sent_requests_;
  DiscoveryClient discovery_;
  Dispatcher dispatcher_;
  DownstreamServer downstream_;
  DisabledServers disabled_servers_;
  AdminServer admin_server_;
  ConfigReloader reloader_;
  ListenRetry admin_listen_retry_;
  ListenRetry client_listen_retry_;
  Result result_ = Result::kStopped;
};

}  // namespace nettleyoke::node
