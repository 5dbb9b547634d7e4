// A node before one server whose connections the test holds in its own hands, and what several tests do with
// it.
#pragma once

#include "node_harness.h"

namespace nettleyoke::node {

constexpr std::size_t kKilo = 1024, kMega = kKilo * 1024;

// A node before one server whose connections the test holds in its own hands.
struct OneServer {
  // Attempts that are out may be called off or not; this says nothing about those that are not out yet.
  explicit OneServer(bool can_cancel = false, ConfigText config = {}) {
    config.discovery = discovery.address();
    config.known = list(7, true, member("s0", server.address()));
    config.ops = "127.0.0.1:0";
    config.bounds = R"("cancel":)" + std::string(can_cancel ? "true" : "false") +
                    R"(,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
    program = std::make_unique<Program>(config.text());
  }
  Wire client() const { return Wire::to(program->port()); }
  bool has_noticed(const std::string& id) const {
    return eventually([&] {
      const std::string log = program->log();
      const std::size_t at = log.find("request " + id + ",");
      return at != std::string::npos &&
             log.substr(at, log.find('\n', at) - at).find("its client left") != std::string::npos;
    });
  }
  bool is_idle() const {
    return eventually([&] { return program->call("STATS").find(R"("inflight":0,)") != std::string::npos; });
  }

  FullListener server;
  FakeDiscovery discovery;
  std::unique_ptr<Program> program;
};

inline Ask look(const std::string& id) { return {.kind = "look", .id = id, .method = "GET", .body = ""}; }

}  // namespace nettleyoke::node
