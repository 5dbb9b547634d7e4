/// @file
/// A node as a run sees it, real or hollow.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "checks/invariant_checker.h"

namespace nettleyoke::lab {

class NodeUnderTest {
 public:
  /// A call of a client. Times are in s.
  struct Call {
    std::string id, idempotency_key, tenant, request_class;
    std::size_t class_number = 0, tenant_number = 0;  ///< their positions in the experiment
    double timeout = 0;                               ///< how long the client waits
    double disconnect_after = 0;                      ///< 0: the client does not disconnect early
    bool is_post = false, is_retry = false;
  };
  /// What the node's process has used so far; nothing where it has none of its own.
  struct Usage {
    double cpu = 0;          ///< s
    std::size_t memory = 0;  ///< bytes, resident
  };

  NodeUnderTest() = default;
  NodeUnderTest(const NodeUnderTest&) = delete;
  NodeUnderTest& operator=(const NodeUnderTest&) = delete;
  virtual ~NodeUnderTest() = default;

  virtual const char* kind() const = 0;
  virtual std::size_t number() const = 0;  ///< in the checker
  virtual const std::string& zone() const = 0;

  /// @param config the text of its configuration
  /// @param ready called once, when the node says that it can serve
  virtual void start(const std::string& config, std::function<void()> ready) = 0;
  /// Sends a call. `ended` is called exactly once, and never from within.
  virtual void call(const Call& call, std::function<void(CallOutcome)> ended) = 0;

  /// Asks for a graceful shutdown; has_exited() says when it is over.
  virtual void shut_down() = 0;
  virtual bool has_exited() = 0;
  /// The exit status, or minus the signal that ended it.
  virtual int exit_status() const = 0;

  virtual Usage usage() const = 0;
  virtual std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const = 0;
  virtual std::string log() const = 0;
  /// How many responses came that answer no request.
  virtual std::size_t unsolicited_responses() const = 0;
  /// The version of the endpoint list in force, where that can be seen from outside.
  virtual std::optional<std::uint64_t> list_version() const = 0;
};

}  // namespace nettleyoke::lab
