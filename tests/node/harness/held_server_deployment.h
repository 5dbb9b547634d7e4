/// @file
/// A node in front of one server whose connections the test accepts and serves itself.
#pragma once

#include <memory>
#include <string>

#include "harness/deployment.h"
#include "harness/full_listener.h"

namespace nettleyoke::node {

/// A node with one server, s0, and a long connect timeout, so that a connect to it can stay pending.
struct HeldServerDeployment {
  /// @param can_cancel  whether attempts in flight may be cancelled; an attempt without a connection can be
  ///                    cancelled in either case
  explicit HeldServerDeployment(bool can_cancel = false, const StartOptions& options = {}) {
    NodeConfig config = config_with_server(server.address(), discovery.address());
    config.admin = "127.0.0.1:0";
    config.bounds = bounds_with_slow_connects(can_cancel ? "true" : "false");
    program = std::make_unique<NodeProcess>(config.text(), options);
  }
  Connection client() const { return Connection::to(program->port()); }

  /// Waits until the node has logged that the client of request `id` disconnected.
  /// @return whether it did within kWaitLimit
  bool logged_disconnect_of(const std::string& id) const {
    return eventually([&] {
      const std::string log = program->log();
      const std::size_t at = log.find("request " + id + ",");
      return at != std::string::npos &&
             log.substr(at, log.find('\n', at) - at).find("client disconnected after") != std::string::npos;
    });
  }
  /// Waits until no request is in flight.
  /// @return whether that was so within kWaitLimit
  bool eventually_has_nothing_in_flight() const { return program->eventually_reports(R"("inflight":0,)"); }

  FullListener server;
  FakeDiscovery discovery;
  std::unique_ptr<NodeProcess> program;
};

}  // namespace nettleyoke::node
