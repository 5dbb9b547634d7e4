/// @file
/// The interface of a node in a run, real or hollow.
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
  /// A client's call. Times are in s.
  struct Call {
    std::string id, idempotency_key, tenant, request_class;
    std::size_t class_number = 0, tenant_number = 0;  ///< indexes in the experiment
    double timeout = 0;                               ///< how long the client waits
    double disconnect_after = 0;                      ///< 0: the client does not disconnect early
    bool is_post = false, is_retry = false;
  };
  /// Resource usage of the node's process so far; 0 for a node without a process of its own.
  struct Usage {
    double cpu = 0;          ///< CPU time in s
    std::size_t memory = 0;  ///< resident memory in bytes
  };

  NodeUnderTest() = default;
  NodeUnderTest(const NodeUnderTest&) = delete;
  NodeUnderTest& operator=(const NodeUnderTest&) = delete;
  virtual ~NodeUnderTest() = default;

  virtual const char* kind() const = 0;
  virtual std::size_t number() const = 0;  ///< its number in the invariant checker
  virtual const std::string& zone() const = 0;

  /// Starts the node.
  /// @param config the text of its configuration file
  /// @param on_ready called once, when the node reports that it can serve
  virtual void start(const std::string& config, std::function<void()> on_ready) = 0;
  /// Sends a call. `on_ended` is called exactly once, never from within this call.
  virtual void call(const Call& call, std::function<void(CallOutcome)> on_ended) = 0;

  /// Starts a graceful shutdown; has_exited() returns true once it is finished.
  virtual void shut_down() = 0;
  virtual bool has_exited() = 0;
  /// The exit status, or the negated number of the signal that ended the process.
  virtual int exit_status() const = 0;

  virtual Usage usage() const = 0;
  virtual std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const = 0;
  virtual std::string log() const = 0;
  /// The number of responses that clients received without a request in flight.
  virtual std::size_t unsolicited_responses() const = 0;
  /// The version of the last endpoint list applied; nullopt if the node does not expose it.
  virtual std::optional<std::uint64_t> list_version() const = 0;
};

}  // namespace nettleyoke::lab
