#include "node.h"

#include <iostream>
#include <set>
#include <utility>

namespace nettleyoke::node {
namespace {

using boost::system::error_code;

// Messages may fill this part of the memory: the rest is for the program, what a connection takes by itself
// and what the allocator does not give back.
constexpr std::size_t kMessageMemoryDivisor = 3;

// From the node's start; until then a node that has heard nothing from discovery is not ready, though it
// knows a list from before: that may be old, and where one process takes over from another the old one still
// serves.
constexpr double kMaxListWaitSeconds = 3;

std::size_t message_memory(const Startup& startup) {
  const std::size_t processes = startup.inherited_listener ? 2 : 1;
  return startup.config.memory_limit_bytes / kMessageMemoryDivisor / processes;
}

DescriptorBudget descriptors_of(const Startup& startup) {
  return divide_descriptors(effective_descriptor_limit(startup.config.descriptor_limit),
                            startup.config.ops.has_value(), startup.inherited_listener.has_value());
}

}  // namespace

Node::Node(EventLoop& loop, Startup startup)
    : loop_(loop),
      startup_(std::move(startup)),
      config_(startup_.config),
      descriptors_(descriptors_of(startup_)),
      upstream_(loop.io(), {config_.connect_timeout, config_.server_idle_timeout, descriptors_.upstream},
                loop.memory_budget(), metrics_),
      discovery_(loop.io(), config_.discovery, config_.directory, loop.clock(), config_.seed,
                 discovery_listener()),
      dispatcher_(loop.io(), loop.clock(), config_.settings, config_.seed, config_.max_open, upstream_,
                  [this] { discovery_.watch(); }),
      downstream_(loop.io(),
                  {descriptors_.clients, descriptors_.overflow, config_.settings.max_retry_after / 2},
                  {config_.class_names, config_.tenant_names, config_.settings.classes,
                   config_.settings.classes.size()},
                  loop.memory_budget(), dispatcher_, metrics_),
      disabled_servers_(
          loop.io(), startup_.state_directory,
          [this](const std::set<std::string>& servers) { dispatcher_.set_disabled_servers(servers); }),
      admin_server_(loop.io(), admin_handlers()),
      reloader_(startup_.config_path, config_, reloaded_parts()),
      operators_listen_(loop.io(), loop.clock()),
      clients_listen_(loop.io(), loop.clock()) {
  loop_.memory_budget().set_limit(message_memory(startup_));
  metrics_.add_classes(config_.class_names);
  discovery_.set_responds_immediately(!config_.settings.must_watch);
  discovery_.set_list_version(config_.known.version);
}

// ---------------------------------------------------------------- wiring

DiscoveryClient::Listener Node::discovery_listener() {
  return {[this](const EndpointList& list) { dispatcher_.on_endpoint_list(list); },
          [this] { dispatcher_.on_watch_alive(); }, [this] { dispatcher_.on_watch_failed(); }};
}

AdminServer::Handlers Node::admin_handlers() {
  return {[this] { return is_ready(); },
          [this] {
            return metrics_.to_json({dispatcher_.listed_servers(), dispatcher_.unavailable_servers()});
          },
          [this](const std::string& id, bool enable) { return set_server(id, enable); }};
}

ConfigReloader::Parts Node::reloaded_parts() {
  return {loop_.clock(), metrics_, upstream_, discovery_, dispatcher_, downstream_};
}

// ---------------------------------------------------------------- phases

Node::Result Node::run() {
  start();
  if (config_.ops) listen_for_operators();
  listen_for_clients();
  await_stop();
  loop_.run();
  return result_;
}

void Node::start() {
  // Before the first request, which could otherwise go to a server that is disabled.
  disabled_servers_.load();
  if (startup_.inherited_listener) disabled_servers_.watch_file();
  dispatcher_.start(config_.known);
}

void Node::listen_for_operators() {
  // By value: a reload before the address is free may bring a configuration without one.
  operators_listen_.start([this, address = *config_.ops] { admin_server_.listen(address); },
                          [this](error_code error) { on_operators_listening(error); });
}

void Node::on_operators_listening(error_code error) {
  // By now clients are served. They must not pay for whoever holds the address so long.
  if (error == boost::asio::error::address_in_use) {
    std::clog << "operators: " << error.message() << "; served without them\n";
    return;
  }
  if (error) return abort_start("operators", error);
  std::clog << "nettleyoke " << config_.name << ": operators at " << admin_server_.local_endpoint() << '\n';
}

void Node::listen_for_clients() {
  const auto listen = [this] {
    if (startup_.inherited_listener) {
      downstream_.serve_on_inherited_listener(*startup_.inherited_listener);
    } else {
      downstream_.listen(config_.listen);
    }
  };
  clients_listen_.start(listen, [this](error_code error) { on_clients_listening(error); });
}

void Node::on_clients_listening(error_code error) {
  if (error) return abort_start("listen", error);
  downstream_.start();
  std::clog << "nettleyoke " << config_.name << ": listening on " << downstream_.local_endpoint() << '\n';
  await_reload();
}

void Node::abort_start(const char* step, error_code error) {
  std::cerr << "nettleyoke: " << step << ": " << error.message() << '\n';
  result_ = Result::kStartFailed;
  loop_.stop();
}

void Node::await_reload() {
  loop_.reload_signals().async_wait([this](error_code cancelled, int) {
    if (cancelled) return;
    reloader_.reload();
    await_reload();
  });
}

void Node::await_stop() {
  loop_.stop_signals().async_wait([this](error_code cancelled, int) {
    if (!cancelled) drain();
  });
}

void Node::drain() {
  clients_listen_.cancel();
  downstream_.shut_down_gracefully([this] { loop_.stop(); });
}

// ---------------------------------------------------------------- operators' calls

bool Node::is_ready() const {
  if (!dispatcher_.can_serve() || downstream_.is_shutting_down()) return false;
  return dispatcher_.has_received_endpoint_list() || loop_.clock().now() >= kMaxListWaitSeconds;
}

std::string Node::set_server(const std::string& id, bool enable) {
  if (!dispatcher_.is_listed(id) && !disabled_servers_.servers().contains(id)) return "unknown server";
  disabled_servers_.set_disabled(id, !enable);
  return "";
}

}  // namespace nettleyoke::node
