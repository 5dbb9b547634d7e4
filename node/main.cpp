// The program nettleyoke, a load-balancer node: reads the environment, runs the node, maps errors to exit
// codes.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "config.h"
#include "discovery/endpoint_list.h"
#include "event_loop.h"
#include "node.h"
#include "takeover/inherited_listener.h"

namespace {

namespace node = nettleyoke::node;

constexpr int kExitStopped = EXIT_SUCCESS;
constexpr int kExitError = EXIT_FAILURE;
constexpr int kExitBadConfiguration = 2;

bool is_set(const char* variable) { return variable != nullptr && *variable != '\0'; }

int report_bad_configuration(const std::exception& error) {
  std::cerr << "nettleyoke: " << error.what() << '\n';
  return kExitBadConfiguration;
}

// RELAY_OPS takes precedence over the file: two processes may share the file, but each has its own
// environment.
node::Startup read_startup(const char* config_path, const node::Clock& clock) {
  node::Startup startup;
  startup.config_path = config_path;
  startup.config = node::read_config(config_path, clock);
  if (const char* address = std::getenv("RELAY_OPS"); is_set(address)) {
    startup.config.admin_address = node::parse_endpoint(address);
    if (!startup.config.admin_address)
      throw node::ConfigError("RELAY_OPS", "is not an IP address with a port");
  }
  startup.inherited_listener = node::inherited_listener(std::getenv("RELAY_LISTEN_FD"));
  if (const char* directory = std::getenv("TMPDIR"); is_set(directory)) startup.state_directory = directory;
  return startup;
}

int run(const char* config_path) {
  node::EventLoop loop;  // before anything else, so that no signal is missed
  node::Startup startup;
  try {
    startup = read_startup(config_path, loop.clock());
  } catch (const std::exception& error) {
    return report_bad_configuration(error);
  }
  try {
    node::Node balancer_node(loop, std::move(startup));
    return balancer_node.run() == node::Node::Result::kStopped ? kExitStopped : kExitBadConfiguration;
  } catch (const std::invalid_argument& error) {
    return report_bad_configuration(error);
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const char* config_path = std::getenv("RELAY_CONFIG");
    if (!is_set(config_path)) {
      std::cerr << "nettleyoke: RELAY_CONFIG is not set\n";
      return kExitBadConfiguration;
    }
    return run(config_path);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "nettleyoke: %s\n", error.what());
  } catch (...) {
    std::fputs("nettleyoke: exception of unknown type\n", stderr);
  }
  return kExitError;
}
