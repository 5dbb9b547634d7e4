// nettleyoke: a load-balancer node. Environment, signals, wiring and exit status; the work is elsewhere.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "config.h"
#include "discovery/discovery_client.h"
#include "dispatch/dispatcher.h"
#include "downstream/downstream_server.h"
#include "http/memory_budget.h"
#include "takeover/takeover.h"
#include "upstream/upstream_client.h"

namespace {

namespace asio = boost::asio;
namespace node = nettleyoke::node;

constexpr int kBadConfiguration = 2;
// Messages may fill this part of the memory: the rest is for the program, what a connection takes by itself
// and what the allocator does not give back.
constexpr std::size_t kMessagePart = 3;

// How the descriptors are shared out. Danger: a request that was accepted and has no descriptor left for its
// attempt can only be refused. With a successor beside it, the two stay within the limit together: callers
// are dealt out between them, all else each has for itself.
struct DescriptorBudget {
  DescriptorBudget(std::size_t sockets, bool operators, bool successor) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
      sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
    }
    // The loop's own, discovery, the log, the listener and a spare.
    const std::size_t own = 24 + (operators ? node::AdminServer::kMostCallers + 1 : 0);
    const std::size_t processes = successor ? 2 : 1;
    const std::size_t reserve = own * processes;
    const std::size_t free = sockets > 2 * reserve ? sockets - reserve : reserve;
    clients = free / 2;
    overflow = free / 8;
    upstream = (free - clients - overflow) / processes;
  }
  std::size_t clients = 0, overflow = 0, upstream = 0;
};

// Guards against an exception that gets past a handler: it costs what that one was about, not the node. Each
// request has a timer of its own that answers it in time.
void run_to_end(asio::io_context& io) {
  for (bool told = false;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& problem) {
      if (!std::exchange(told, true)) std::clog << "a handler failed: " << problem.what() << '\n';
    }
  }
}

// s from the start; so long a process before this one, which serves to its end, may hold an address.
constexpr double kAddressWait = 8;
constexpr double kAddressPause = 0.02;

// Calls `listen`, which throws while the address is in use, until it is free; then `done`, with the problem
// if there is one. Danger: a node that is told to end and started anew at once would find its own address
// taken, and one that ends for that counts as crashed.
void listen_once_free(asio::steady_timer& again, const node::Clock& clock, std::function<void()> listen,
                      std::function<void(boost::system::error_code)> done) {
  boost::system::error_code problem;
  try {
    listen();
  } catch (const boost::system::system_error& thrown) {
    problem = thrown.code();
  }
  if (problem != asio::error::address_in_use || clock.now() >= kAddressWait) return done(problem);
  again.expires_after(node::Clock::span(kAddressPause));
  again.async_wait(
      [&again, &clock, listen = std::move(listen), done = std::move(done)](boost::system::error_code bad) {
        if (!bad) listen_once_free(again, clock, listen, done);
      });
}

// What a reload reaches.
struct Parts {
  const char* path;
  const node::Clock& clock;
  node::Config& config;  // in force
  node::DiscoveryClient& discovery;
  node::UpstreamClient& upstream;
  node::Dispatcher& dispatcher;
  node::DownstreamServer& frontend;
  node::Metrics& metrics;
};

// All is read and found to be in order before the first part switches; from there on nothing can fail.
void reload(const Parts& parts) {
  node::Config next = node::read_next_config(parts.path, parts.clock, parts.config);
  node::RequestCatalog catalog =
      node::next_catalog(parts.frontend.catalog(), next.class_names, next.tenant_names, next.settings);
  parts.metrics.add_classes(next.class_names);
  parts.upstream.set_timeouts(next.connect_timeout, next.server_idle_timeout);
  parts.frontend.replace_catalog(std::move(catalog), next.settings.max_retry_after / 2);
  // Before the module asks for a watch, or the old address is called once more.
  parts.discovery.set_directory(next.directory);
  parts.discovery.set_responds_immediately(!next.settings.must_watch);
  parts.discovery.move_to(next.discovery);
  parts.dispatcher.replace_settings(next.settings, next.max_open);
  parts.config = std::move(next);
}

// At each SIGHUP the file is read again.
void reload_on(asio::signal_set& hangups, const Parts& parts) {
  hangups.async_wait([&hangups, &parts](boost::system::error_code bad, int) {
    if (bad) return;
    try {
      reload(parts);
      parts.metrics.reload_finished(true);
      std::clog << "reload: discovery at " << parts.config.discovery << ", "
                << parts.config.class_names.size() << " classes\n";
    } catch (const std::exception& problem) {
      parts.metrics.reload_finished(false);
      std::clog << "reload: " << problem.what() << "; all stays as it was\n";
    }
    reload_on(hangups, parts);
  });
}

// s from the start; until then a node that discovery has told nothing is not ready, though it knows a list
// from before: that may be old, and where one process takes over from another the old one still serves.
constexpr double kListWait = 3;

node::AdminServer::Handlers operators_calls(const node::Clock& clock, node::Dispatcher& dispatcher,
                                            node::DownstreamServer& frontend, node::Metrics& metrics,
                                            node::DisabledServers& bans) {
  return {[&] {
            return dispatcher.can_serve() && !frontend.draining() &&
                   (dispatcher.has_list() || clock.now() >= kListWait);
          },
          [&] {
            return metrics.to_json({dispatcher.listed_servers(), dispatcher.unavailable_servers()});
          },
          [&](const std::string& id, bool enable) -> std::string {
            if (!dispatcher.is_listed(id) && !bans.servers().contains(id)) return "unknown server";
            bans.set_disabled(id, !enable);
            return "";
          }};
}

int run(const char* path) {
  // Danger: a signal that comes before these stand would end the process. What comes between here and the
  // first wait is kept for it.
  node::MemoryBudget budget;  // outlives what is left in the event loop at the end
  asio::io_context io(1);
  asio::signal_set hangups(io, SIGHUP), signals(io, SIGTERM, SIGINT);
  const node::Clock clock;
  node::Config config;
  std::optional<int> listener;
  try {
    config = node::read_config(path, clock);
    // The environment is this process's own; the file may be one that two processes share.
    if (const char* ops = std::getenv("RELAY_OPS"); ops != nullptr && *ops != '\0') {
      config.ops = node::parse_endpoint(ops);
      if (!config.ops) throw std::runtime_error("RELAY_OPS: not an address with a port");
    }
    listener = node::inherited_listener(std::getenv("RELAY_LISTEN_FD"));
  } catch (const std::exception& problem) {
    std::cerr << "nettleyoke: " << problem.what() << '\n';
    return kBadConfiguration;
  }
  const DescriptorBudget shares(config.sockets, config.ops.has_value(), listener.has_value());
  const nettleyoke::Settings& settings = config.settings;
  budget.set_limit(config.memory / kMessagePart / (listener ? 2 : 1));
  node::Metrics metrics;
  metrics.add_classes(config.class_names);
  node::UpstreamClient upstream(io, {config.connect_timeout, config.server_idle_timeout, shares.upstream},
                                budget, metrics);
  node::Dispatcher* to = nullptr;
  node::DiscoveryClient discovery(io, config.discovery, config.directory, clock, config.seed,
                                  {[&to](const node::EndpointList& update) { to->on_endpoint_list(update); },
                                   [&to] { to->on_watch_alive(); }, [&to] { to->on_watch_failed(); }});
  discovery.set_responds_immediately(!settings.must_watch);
  discovery.set_list_version(config.known.version);
  try {
    node::Dispatcher dispatcher(io, clock, settings, config.seed, config.max_open, upstream,
                                [&discovery] { discovery.watch(); });
    to = &dispatcher;
    node::DownstreamServer frontend(
        io, {shares.clients, shares.overflow, settings.max_retry_after / 2},
        {config.class_names, config.tenant_names, settings.classes, settings.classes.size()}, budget,
        dispatcher, metrics);
    const char* directory = std::getenv("TMPDIR");
    node::DisabledServers bans(
        io, directory != nullptr ? directory : "",
        [&dispatcher](const std::set<std::string>& out) { dispatcher.set_disabled_servers(out); });
    node::AdminServer ops(io, operators_calls(clock, dispatcher, frontend, metrics, bans));
    const Parts parts{path, clock, config, discovery, upstream, dispatcher, frontend, metrics};
    // Danger: bans that came after the first request would let it go to a server that is out.
    bans.load();
    if (listener) bans.watch_file();
    dispatcher.start(config.known);
    int status = EXIT_SUCCESS;
    const auto abort_start = [&](const char* what, boost::system::error_code problem) {
      std::cerr << "nettleyoke: " << what << ": " << problem.message() << '\n';
      status = kBadConfiguration;
      io.stop();
    };
    asio::steady_timer ops_again(io), again(io);
    const auto open_ops = [&] { ops.listen(*config.ops); };
    const auto ops_opened = [&](boost::system::error_code problem) {
      // Danger: by now callers are served; whoever holds the address so long, they must not pay for it.
      if (problem == asio::error::address_in_use) {
        std::clog << "operators: " << problem.message() << "; served without them\n";
        return;
      }
      if (problem) return abort_start("operators", problem);
      std::clog << "nettleyoke " << config.name << ": operators at " << ops.local() << '\n';
    };
    if (config.ops) listen_once_free(ops_again, clock, open_ops, ops_opened);
    const auto open = [&] {
      listener ? frontend.serve_on_inherited_listener(*listener) : frontend.listen(config.listen);
    };
    const auto opened = [&](boost::system::error_code problem) {
      if (problem) return abort_start("listen", problem);
      frontend.start();
      std::clog << "nettleyoke " << config.name << ": listening on " << frontend.local() << '\n';
      reload_on(hangups, parts);
    };
    listen_once_free(again, clock, open, opened);
    signals.async_wait([&](boost::system::error_code bad, int) {
      if (bad) return;
      again.cancel();
      frontend.drain([&io] { io.stop(); });
    });
    run_to_end(io);
    return status;
  } catch (const std::invalid_argument& problem) {
    std::cerr << "nettleyoke: " << problem.what() << '\n';
    return kBadConfiguration;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const char* path = std::getenv("RELAY_CONFIG");
    if (path == nullptr || *path == '\0') {
      std::cerr << "nettleyoke: RELAY_CONFIG is not set\n";
      return kBadConfiguration;
    }
    return run(path);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettleyoke: %s\n", problem.what());
  } catch (...) {
    std::fputs("nettleyoke: an unknown fault\n", stderr);
  }
  return EXIT_FAILURE;
}
