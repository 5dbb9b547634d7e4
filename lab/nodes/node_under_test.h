// A node as a play sees it, real or hollow.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "checks/invariant_checker.h"

namespace nettleyoke::lab {

class PlayedNode {
 public:
  struct Call {
    std::string id, key, tenant, request_class;
    std::size_t class_number = 0, tenant_number = 0;  // their places in the experiment
    double time = 0;                                  // s that the client gives
    double leave_after = 0;                           // s; 0: it stays
    bool is_post = false, is_retry = false;
  };
  // What its process has used so far; nothing where it has none of its own.
  struct Usage {
    double cpu = 0;          // s
    std::size_t memory = 0;  // bytes, resident
  };

  PlayedNode() = default;
  PlayedNode(const PlayedNode&) = delete;
  PlayedNode& operator=(const PlayedNode&) = delete;
  virtual ~PlayedNode() = default;

  virtual const char* kind() const = 0;
  virtual std::size_t number() const = 0;  // in the audit
  virtual const std::string& zone() const = 0;

  // With the text of its configuration. `ready` once it says that it can serve.
  virtual void start(const std::string& config, std::function<void()> ready) = 0;
  // A call of a client; told exactly once how it ended, never from within.
  virtual void call(const Call& call, std::function<void(Ending)> ended) = 0;
  // It is to end in order. Then: whether it has, and with which status, or minus the signal.
  virtual void end() = 0;
  virtual bool has_ended() = 0;
  virtual int status() const = 0;

  virtual Usage usage() const = 0;
  virtual std::optional<boost::asio::ip::tcp::endpoint> operators() const = 0;
  virtual std::string log() const = 0;
  // Answers that nobody had asked for.
  virtual std::size_t stray_answers() const = 0;
  // The version of the list in force, where that can be seen from outside.
  virtual std::optional<std::uint64_t> list_index() const = 0;
};

}  // namespace nettleyoke::lab
