/// @file
/// A node together with the servers and the discovery that it talks to.
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

/// Sends a request and reads its answer; empty where the connection ends instead.
std::string exchange(Connection& client, const RequestBuilder& request);

/// The status of a health check on an open connection.
int health_status(Connection& client);

/// As a server: reads a request.
/// @return its id; empty at the end of the connection
std::string read_request_id(Connection& server);

/// Sends requests, each on a connection of its own and with an id of its own, until one is answered with that
/// body.
/// @return whether one was within kWaitLimit
bool eventually_answers(int port, const std::string& body, const RequestBuilder& request = {});

/// A node with servers s0, s1 ... in its known list, and a discovery that has nothing to add.
class Deployment {
 public:
  explicit Deployment(const std::vector<FakeServer*>& servers, NodeConfig node_config = {},
                      const StartOptions& options = {});

  Connection client() const { return Connection::to(program->port()); }
  /// The answer to a request on a connection of its own.
  std::string answer_to(const RequestBuilder& request) const;
  int status_for(const RequestBuilder& request) const { return status_of(answer_to(request)); }
  bool eventually_answers(const std::string& body) const {
    return node::eventually_answers(program->port(), body);
  }
  bool eventually_answers_with_status(int status) const;
  /// Replaces the configuration and waits until the node says what came of it.
  void reload(const NodeConfig& changed) const;

  FakeDiscovery discovery;
  NodeConfig config;  ///< that the node was started with
  std::unique_ptr<NodeProcess> program;
};

/// What a OneServerDeployment has to have before its node starts and until that has ended.
struct ServerOfDeployment {
  FakeServer server;
};

/// A node in front of one server, by default one that answers every request with 200 and "ok".
class OneServerDeployment : public ServerOfDeployment, public Deployment {
 public:
  explicit OneServerDeployment(FakeServer::Reply reply = always_reply(200, "ok"), NodeConfig node_config = {},
                               const StartOptions& options = {})
      : ServerOfDeployment{FakeServer(std::move(reply))},
        Deployment({&server}, std::move(node_config), options) {}
};

}  // namespace nettleyoke::node
