/// @file
/// A node together with its servers and its discovery agent.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "harness/connection.h"
#include "harness/fake_discovery.h"
#include "harness/fake_server.h"
#include "harness/node_config.h"
#include "harness/node_process.h"
#include "harness/request_builder.h"

namespace nettleyoke::node {

/// Sends a request and reads the response.
/// @return empty if the connection ends instead
std::string exchange(Connection& client, const RequestBuilder& request);

/// Sends a health check on an open connection.
/// @return the status of the response; 0 if the connection ends instead
int health_status(Connection& client);

/// Reads a request on a connection of a server.
/// @return the request id; empty if the connection ends instead
std::string read_request_id(Connection& server);

/// Sends requests until a response has the body `body`. Each request has a new connection and a new id.
/// @return whether such a response arrived within kWaitLimit
bool eventually_answers(int port, const std::string& body, const RequestBuilder& request = {});

/// A node whose initial endpoint list contains the servers s0, s1 ..., and a discovery agent that sends no
/// further endpoints.
class Deployment {
 public:
  explicit Deployment(const std::vector<FakeServer*>& servers, NodeConfig node_config = {},
                      const StartOptions& options = {});

  Connection client() const { return Connection::to(program->port()); }
  /// Sends a request on a new connection.
  /// @return the response; empty if the connection ends instead
  std::string response_to(const RequestBuilder& request) const;
  int status_for(const RequestBuilder& request) const { return status_of(response_to(request)); }
  bool eventually_answers(const std::string& body) const {
    return node::eventually_answers(program->port(), body);
  }
  bool eventually_answers_with_status(int status) const;
  /// Replaces the configuration and waits until the node has logged the result of the reload.
  void reload(const NodeConfig& changed) const;

  FakeDiscovery discovery;
  NodeConfig config;  ///< the configuration the node was started with
  std::unique_ptr<NodeProcess> program;
};

/// A base class of OneServerDeployment: it constructs the server before the node and destroys it after.
struct ServerOfDeployment {
  FakeServer server;
};

/// A node in front of one server. By default the server responds to every request with 200 and "ok".
class OneServerDeployment : public ServerOfDeployment, public Deployment {
 public:
  explicit OneServerDeployment(FakeServer::Reply reply = always_reply(200, "ok"), NodeConfig node_config = {},
                               const StartOptions& options = {})
      : ServerOfDeployment{FakeServer(std::move(reply))},
        Deployment({&server}, std::move(node_config), options) {}
};

}  // namespace nettleyoke::node
