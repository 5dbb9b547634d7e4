// nettleyoke: a load-balancer node. Environment and exit codes; the work is elsewhere.
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
constexpr int kExitFault = EXIT_FAILURE;
constexpr int kExitBadConfiguration = 2;

bool is_set(const char* variable) { return variable != nullptr && *variable != '\0'; }

int report_bad_configuration(const std::exception& error) {
  std::cerr << "nettleyoke: " << error.what() << '\n';
  return kExitBadConfiguration;
}

// The environment is this process's own and comes first; the file may be one that two processes share.
node::Startup read_startup(const char* config_path, const node::Clock& clock) {
  node::Startup startup;
  startup.config_path = config_path;
  startup.config = node::read_config(config_path, clock);
  if (const char* operators = std::getenv("RELAY_OPS"); is_set(operators)) {
    startup.config.ops = node::parse_endpoint(operators);
    if (!startup.config.ops) throw node::ConfigError("RELAY_OPS", "not an address with a port");
  }
  startup.inherited_listener = node::inherited_listener(std::getenv("RELAY_LISTEN_FD"));
  if (const char* directory = std::getenv("TMPDIR"); is_set(directory)) startup.state_directory = directory;
  return startup;
}

int run(const char* config_path) {
  node::EventLoop loop;  // first, for the signals
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
    std::fputs("nettleyoke: an unknown fault\n", stderr);
  }
  return kExitFault;
}
