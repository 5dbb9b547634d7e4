/// @file
/// A real node: the built program as a child process, started and stopped as the deployment specification
/// (DEPLOY) requires.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "checks/invariant_checker.h"
#include "load/http_client.h"
#include "nodes/node_under_test.h"

namespace nettleyoke::lab {

/// The process of a node could not be started.
struct NodeStartError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class RealNode : public NodeUnderTest {
 public:
  struct Options {
    std::string program, folder;  ///< the configuration and log files are in the folder
    std::string name, zone;
    std::size_t number = 0;         ///< its number in the invariant checker
    std::size_t descriptors = 512;  ///< limit of open file descriptors
  };
  RealNode(boost::asio::io_context& io, InvariantChecker& checker, Options options);
  /// Kills the process if it is still running.
  ~RealNode() override;

  const char* kind() const override { return "real"; }
  std::size_t number() const override { return options_.number; }
  const std::string& zone() const override { return options_.zone; }
  /// @throws NodeStartError if the process cannot be started
  void start(const std::string& config, std::function<void()> on_ready) override;
  void call(const Call& call, std::function<void(CallOutcome)> on_ended) override;
  void shut_down() override;
  bool has_exited() override;
  int exit_status() const override { return exit_status_; }
  Usage usage() const override;
  std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const override;
  std::string log() const override;
  std::size_t unsolicited_responses() const override {
    return client_ ? client_->unsolicited_responses() : 0;
  }
  std::optional<std::uint64_t> list_version() const override { return std::nullopt; }

  /// The client for calls to this node; the servers of the previous tier use it too. Valid once the node is
  /// ready.
  HttpClient& client() { return *client_; }

 private:
  std::string file(const std::string& extension) const;
  [[noreturn]] void execute_program(const std::string& config_file, const std::string& log_file) const;
  void poll_until_listening();
  void check_health();
  CallOutcome outcome_of(const Call& call, const HttpClient::Response& response);
  std::optional<boost::asio::ip::tcp::endpoint> logged_endpoint(const std::string& label) const;

  boost::asio::io_context& io_;
  InvariantChecker& checker_;
  Options options_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<HttpClient> client_;  // set once the node listens
  std::function<void()> on_ready_;
  pid_t pid_ = -1;  // while the process runs
  int exit_status_ = 0;
};

}  // namespace nettleyoke::lab
