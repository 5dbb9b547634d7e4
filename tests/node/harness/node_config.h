/// @file
/// The text of a node's configuration file.
#pragma once

#include <string>

#include "harness/fake_discovery.h"

namespace nettleyoke::node {

/// Returns one request class as JSON of the settings.
/// @param extra_members     further members, each preceded by a comma
/// @param latency_objective `aim` of the settings, in seconds
/// @param client_timeout    `giveUp` of the settings, in seconds
inline std::string class_json(const std::string& name, const std::string& effect,
                              const std::string& extra_members = "",
                              const std::string& latency_objective = "5.0",
                              const std::string& client_timeout = "15.0") {
  return R"({"name":")" + name + R"(","aim":)" + latency_objective + R"(,"giveUp":)" + client_timeout +
         R"(,"effect":")" + effect + R"(")" + extra_members + R"(,"lateWorth":0.5})";
}

/// The members of a configuration that tests change. Addresses have the form "host:port".
struct NodeConfig {
  std::string discovery = "127.0.0.1:9";
  std::string initial_endpoint_list = {};  ///< as JSON; empty: none
  std::string listen = "127.0.0.1:0";
  std::string registry_mode = "subscribe";  ///< or "automatic"
  std::string admin = {};                   ///< empty: no admin server
  int sockets = 256;
  int memory_mb = 192;
  std::string bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                       R"("secondCopies":true,"dialTimeout":0.5,"idleClose":60.0)";
  std::string classes = class_json("look", "safe") + "," +
                        class_json("mark", "keyed", R"(,"group":"cell","dedupWindow":15.0)") + "," +
                        class_json("close", "unsafe");

  std::string text() const {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
           R"(,"sockets":)" + std::to_string(sockets) + "}," +
           (initial_endpoint_list.empty() ? "" : R"("known":)" + initial_endpoint_list + ",") +
           (admin.empty() ? "" : R"("ops":")" + admin + "\",") +
           R"("settings":{"azs":["a"],"peersTotal":1,"position":0,"stage":0,"zone":0,"granularity":0.005,)" +
           R"("registryMode":")" + registry_mode + R"(","bounds":{)" + bounds + R"(},"categories":[)" +
           classes + R"(],"realms":[{"name":"acme","share":1.0}],"rules":{"askWithin":10.0}}})";
  }
};

/// The class of most requests (`close`) with a client timeout of 0.5 s, so that a graceful shutdown is short.
inline std::string classes_with_short_timeout() { return class_json("close", "unsafe", "", "0.3", "0.5"); }

/// Bounds with a long connect timeout, so that a connect to a server can stay pending while a test needs it.
inline std::string bounds_with_slow_connects(const std::string& can_cancel = "true",
                                             const std::string& connect_timeout = "14.0") {
  return R"("cancel":)" + can_cancel + R"(,"maxAttempts":3,"dialTimeout":)" + connect_timeout +
         R"(,"idleClose":60.0)";
}

/// A configuration whose initial endpoint list contains one server, s0.
/// @param discovery  the address of the discovery agent; by default one without a listener
inline NodeConfig config_with_server(const std::string& server_address,
                                     const std::string& discovery = "127.0.0.1:9") {
  NodeConfig config;
  config.discovery = discovery;
  config.initial_endpoint_list = endpoint_list(7, true, endpoint("s0", server_address));
  return config;
}

}  // namespace nettleyoke::node
