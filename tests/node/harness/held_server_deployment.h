/// @file
/// A node in front of one server whose connections the test accepts and serves by hand.
#pragma once

#include <memory>
#include <string>

#include "harness/deployment.h"
#include "harness/full_listener.h"

namespace nettleyoke::node {

/// A node that knows one server, s0, and is slow to give up a connect to it.
struct HeldServerDeployment {
  /// @param can_cancel  whether attempts in flight may be cancelled; those that have no connection yet always
  /// may
  explicit HeldServerDeployment(bool can_cancel = false) {
    NodeConfig config = config_knowing(server.address(), discovery.address());
    config.admin = "127.0.0.1:0";
    config.bounds = bounds_with_slow_connects(can_cancel ? "true" : "false");
    program = std::make_unique<NodeProcess>(config.text());
  }
  Connection client() const { return Connection::to(program->port()); }

  /// Whether the log comes to say that the request's client has disconnected.
  bool logged_disconnect_of(const std::string& id) const {
    return eventually([&] {
      const std::string log = program->log();
      const std::size_t at = log.find("request " + id + ",");
      return at != std::string::npos &&
             log.substr(at, log.find('\n', at) - at).find("client disconnected after") != std::string::npos;
    });
  }
  /// Whether the last request in flight comes to its end.
  bool has_nothing_in_flight() const { return program->eventually_reports(R"("inflight":0,)"); }

  FullListener server;
  FakeDiscovery discovery;
  std::unique_ptr<NodeProcess> program;
};

}  // namespace nettleyoke::node
