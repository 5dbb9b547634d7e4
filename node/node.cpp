#include "node.h"

#include <iostream>
#include <set>
#include <utility>

namespace nettleyoke::node {
namespace {

using boost::system::error_code;

// Messages may use the memory limit divided by this number. The rest is for the program itself, for the fixed
// memory of each connection, and for memory that the allocator does not return to the system.
constexpr std::size_t kMessageMemoryDivisor = 3;

// Counted from the node's start. Until then, a node that has no list from discovery is not ready even if it
// has an initial endpoint list: that list may be out of date, and in a process takeover the old process still
// serves.
constexpr double kMaxListWaitSeconds = 3;

std::size_t message_memory_bytes(const Startup& startup) {
  const std::size_t processes = startup.inherited_listener ? 2 : 1;
  return startup.config.memory_limit_bytes / kMessageMemoryDivisor / processes;
}

DescriptorBudget descriptor_budget(const Startup& startup) {
  return divide_descriptors(effective_descriptor_limit(startup.config.descriptor_limit),
                            startup.config.admin_address.has_value(), startup.inherited_listener.has_value());
}

}  // namespace

Node::Node(EventLoop& loop, Startup startup)
    : loop_(loop),
      startup_(std::move(startup)),
      config_(startup_.config),
      descriptors_(descriptor_budget(startup_)),
      upstream_(loop.io(), {config_.connect_timeout, config_.server_idle_timeout, descriptors_.upstream},
                loop.memory_budget(), metrics_),
      sent_requests_(startup_.inherited_listener ? startup_.state_directory : std::string()),
      discovery_(loop.io(), config_.discovery, config_.zone_directory, loop.clock(), config_.seed,
                 discovery_listener()),
      dispatcher_(loop.io(), loop.clock(), config_.settings, config_.seed, config_.max_open_requests,
                  upstream_, sent_requests_, [this] { discovery_.watch(); }),
      downstream_(loop.io(),
                  {descriptors_.clients, descriptors_.rejected_clients, config_.settings.max_retry_after / 2},
                  {config_.class_names, config_.tenant_names, config_.settings.classes,
                   config_.settings.classes.size()},
                  loop.memory_budget(), dispatcher_, metrics_),
      disabled_servers_(
          loop.io(), startup_.state_directory,
          [this](const std::set<std::string>& servers) { dispatcher_.set_disabled_servers(servers); }),
      admin_server_(loop.io(), admin_handlers()),
      reloader_(startup_.config_path, config_, reloadable_parts()),
      admin_listen_retry_(loop.io(), loop.clock()),
      client_listen_retry_(loop.io(), loop.clock()) {
  loop_.memory_budget().set_limit(message_memory_bytes(startup_));
  metrics_.add_classes(config_.class_names);
  discovery_.set_responds_immediately(!config_.settings.must_watch);
  discovery_.set_list_version(config_.initial_endpoint_list.version);
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
          [this](const std::string& id, bool enable) { return set_server_enabled(id, enable); }};
}

ConfigReloader::Parts Node::reloadable_parts() {
  return {loop_.clock(), metrics_, upstream_, discovery_, dispatcher_, downstream_};
}

// ---------------------------------------------------------------- phases

Node::Result Node::run() {
  start();
  if (config_.admin_address) start_admin_server();
  start_client_listener();
  await_stop_signal();
  loop_.run();
  return result_;
}

void Node::start() {
  // Before the first request, which could otherwise be sent to a disabled server.
  disabled_servers_.load();
  if (startup_.inherited_listener) disabled_servers_.watch_file();
  dispatcher_.start(config_.initial_endpoint_list);
}

void Node::start_admin_server() {
  // Copies the address: a reload during the retries may remove it from the configuration.
  admin_listen_retry_.start([this, address = *config_.admin_address] { admin_server_.listen(address); },
                            [this](error_code error) { on_admin_listening(error); });
}

void Node::on_admin_listening(error_code error) {
  // The node already serves clients and must not stop because another process holds the admin address.
  if (error == boost::asio::error::address_in_use) {
    std::clog << "cannot listen on the admin address: " << error.message()
              << "; the node runs without an admin server\n";
    return;
  }
  if (error) return abort_start("cannot listen on the admin address", error);
  std::clog << "nettleyoke " << config_.name << ": operators at " << admin_server_.local_endpoint() << '\n';
}

void Node::start_client_listener() {
  const auto listen = [this] {
    if (startup_.inherited_listener) {
      downstream_.serve_on_inherited_listener(*startup_.inherited_listener);
    } else {
      downstream_.listen(config_.listen);
    }
  };
  client_listen_retry_.start(listen, [this](error_code error) { on_client_listening(error); });
}

void Node::on_client_listening(error_code error) {
  if (error) return abort_start("cannot listen for clients", error);
  downstream_.start();
  std::clog << "nettleyoke " << config_.name << ": listening on " << downstream_.local_endpoint() << '\n';
  await_reload_signal();
}

void Node::abort_start(const char* failure, error_code error) {
  std::cerr << "nettleyoke: " << failure << ": " << error.message() << '\n';
  result_ = Result::kStartFailed;
  loop_.stop();
}

void Node::await_reload_signal() {
  loop_.reload_signals().async_wait([this](error_code cancelled, int) {
    if (cancelled) return;
    reloader_.reload();
    await_reload_signal();
  });
}

void Node::await_stop_signal() {
  loop_.stop_signals().async_wait([this](error_code cancelled, int) {
    if (!cancelled) shut_down_gracefully();
  });
}

void Node::shut_down_gracefully() {
  client_listen_retry_.cancel();
  downstream_.shut_down_gracefully([this] { loop_.stop(); });
}

// ---------------------------------------------------------------- admin commands

bool Node::is_ready() const {
  if (!dispatcher_.can_serve() || downstream_.is_shutting_down()) return false;
  return dispatcher_.has_received_endpoint_list() || loop_.clock().now() >= kMaxListWaitSeconds;
}

std::string Node::set_server_enabled(const std::string& id, bool enable) {
  if (!dispatcher_.is_listed(id) && !disabled_servers_.servers().contains(id)) return "unknown server";
  disabled_servers_.set_disabled(id, !enable);
  return "";
}

}  // namespace nettleyoke::node
