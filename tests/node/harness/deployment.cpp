#include "harness/deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <utility>

namespace nettleyoke::node {

std::string exchange(Connection& client, const RequestBuilder& request) {
  client.write(request.text());
  return client.read_message();
}

int health_status(Connection& client) {
  client.write(kHealthRequest);
  return status_of(client.read_message());
}

std::string read_request_id(Connection& server) { return field_of(server.read_message(), "X-Request-ID"); }

namespace {

template <typename Accepted>
bool eventually_gets(int port, RequestBuilder request, Accepted is_accepted) {
  static std::atomic<int> count = 0;
  return eventually([&] {
    Connection client = Connection::to(port);
    request.id = "eventually" + std::to_string(++count);
    return is_accepted(exchange(client, request));
  });
}

}  // namespace

bool eventually_answers(int port, const std::string& body, const RequestBuilder& request) {
  return eventually_gets(port, request,
                         [&](const std::string& response) { return body_of(response) == body; });
}

bool Deployment::eventually_answers_with_status(int status) const {
  return eventually_gets(program->port(), {},
                         [&](const std::string& response) { return status_of(response) == status; });
}

Deployment::Deployment(const std::vector<FakeServer*>& servers, NodeConfig node_config,
                       const StartOptions& options)
    : config(std::move(node_config)) {
  std::string endpoints;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    endpoints += (i > 0 ? "," : "") + endpoint("s" + std::to_string(i), servers[i]->address());
  }
  config.initial_endpoint_list = endpoint_list(7, true, endpoints);
  config.discovery = discovery.address();
  program = std::make_unique<NodeProcess>(config.text(), options);
}

std::string Deployment::response_to(const RequestBuilder& request) const {
  Connection connection = client();
  return exchange(connection, request);
}

void Deployment::reload(const NodeConfig& changed) const {
  const int before = program->count_in_log("reload: ");
  program->reload(changed.text());
  ASSERT_TRUE(eventually([&] { return program->count_in_log("reload: ") == before + 1; })) << program->log();
}

}  // namespace nettleyoke::node
