/// @file
/// A hollow node: the settings reader, discovery client, decision library, admin server and metrics of a real
/// node, without a client listener and without server connections. Many hollow nodes run on one event loop.
/// The decision library decides about each call; attempts go directly to the server models. docs/lab.md
/// lists what a hollow node leaves out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "clock.h"
#include "config.h"
#include "discovery/discovery_client.h"
#include "dispatch/decision_loop.h"
#include "dispatch/membership_tracker.h"
#include "dispatch/rewatch_pauses.h"
#include "nettleyoke/balancer.h"
#include "nodes/node_under_test.h"
#include "stand_ins/server_stand_in.h"
#include "takeover/disabled_servers.h"

namespace nettleyoke::lab {

class HollowNode : public NodeUnderTest,
                   private node::ActionExecutor,
                   private node::MembershipTracker::Observer {
 public:
  struct Options {
    std::string folder, name, zone;  ///< the configuration file is written to the folder
    std::size_t number = 0;          ///< its number in the invariant checker
  };
  /// Returns the server with this name, or null.
  using FindServer = std::function<ServerStandIn*(const std::string& name)>;

  /// @param on_list_applied optional; called with each new list version once the decision library has it
  HollowNode(boost::asio::io_context& io, const node::Clock& clock, Options options, FindServer find_server,
             std::function<void(std::uint64_t version)> on_list_applied = nullptr);
  ~HollowNode() override;

  const char* kind() const override { return "hollow"; }
  std::size_t number() const override { return options_.number; }
  const std::string& zone() const override { return options_.zone; }
  void start(const std::string& config, std::function<void()> on_ready) override;
  void call(const Call& call, std::function<void(CallOutcome)> on_ended) override;
  void shut_down() override;
  bool has_exited() override { return is_shut_down_; }
  int exit_status() const override { return 0; }
  Usage usage() const override { return {}; }
  std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const override;
  std::string log() const override { return {}; }
  std::size_t unsolicited_responses() const override { return 0; }
  std::optional<std::uint64_t> list_version() const override { return list_version_; }

 private:
  struct Attempt {
    ServerStandIn* server = nullptr;
    ServerStandIn::DirectAttemptId direct_id = 0;
    double started_at = 0;
    std::unique_ptr<boost::asio::steady_timer> timeout_timer;
    bool is_open = true;
  };
  struct InFlightCall {
    std::string request_class;
    std::size_t class_number = 0;
    // Empty once the final answer was sent or the client disconnected.
    std::function<void(CallOutcome)> on_ended;
    double attempts_end_at = 0;  // s on the lab's clock: no attempt runs past it
    double time_left = 0;        // s from the start of the call to its deadline
    // The fallback timer fails the call shortly before its deadline.
    std::unique_ptr<boost::asio::steady_timer> fallback_timer, disconnect_timer;
    std::vector<Attempt> attempts;
    bool is_completed() const { return !on_ended; }
    bool has_open_attempts() const;
  };

  void start_discovery();
  void start_admin_server();
  node::DiscoveryClient::Listener discovery_listener();

  void on_server_listed(const node::Endpoint&, bool) override {}
  void on_server_removed(const std::string&) override {}
  void apply_endpoint_list(const node::EndpointList& update);
  void on_watch_alive();
  void on_watch_failed();
  void set_disabled_servers(const std::set<std::string>& servers);
  std::string set_enabled(const std::string& server, bool enable);

  [[nodiscard]] InFlightCall* find(const std::string& id);
  [[nodiscard]] InFlightCall* find_pending(const std::string& id);
  /// Null unless the call exists and its attempt is open.
  [[nodiscard]] Attempt* find_open_attempt(const std::string& id, std::size_t number);
  [[nodiscard]] std::unique_ptr<boost::asio::steady_timer> end_call_at(double due_at, const std::string& id,
                                                                       CallOutcome outcome);
  void complete(InFlightCall& call, CallOutcome outcome);
  void complete_and_erase(const std::string& id, CallOutcome outcome);
  void cancel_call(const std::string& id, CallOutcome outcome);
  void erase_if_finished(const std::string& id);
  void run_attempt(const std::string& id, std::size_t number, Attempt& attempt, std::size_t class_number,
                   double timeout);
  void on_attempt_ended(const std::string& id, std::size_t number, Outcome outcome);
  void on_attempt_timeout(const std::string& id, std::size_t number);
  void end_attempt_later(const std::string& id, std::size_t number, Outcome outcome);
  void run_later(double seconds, std::function<void()> callback);

  void execute(const StartAttempt& action) override;
  void execute(const Reject& action) override;
  void execute(const Fail& action) override;
  void execute(const CancelAttempt& action) override;
  void execute(const SetTimer& action) override;
  void execute(const WatchMembership& action) override;
  void execute(const LogLine&) override {}
  // A failure of the decision library invalidates the experiment: the exception ends the run.
  void on_decision_failed(const std::exception&) override { throw; }
  void on_execution_failed(const std::exception&) override { throw; }
  void after_failed_decision(const Event&) override {}

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Options options_;
  FindServer find_server_;
  std::function<void(std::uint64_t)> on_list_applied_;
  std::function<void()> on_ready_;
  node::Config config_;
  std::unique_ptr<node::DecisionLoop> decisions_;
  std::unique_ptr<node::DiscoveryClient> discovery_;
  node::Metrics metrics_;
  std::unique_ptr<node::DisabledServers> disabled_servers_;
  std::unique_ptr<node::AdminServer> admin_server_;
  std::optional<node::RewatchPauses> rewatch_pauses_;
  std::unordered_map<std::string, InFlightCall> in_flight_calls_;
  node::MembershipTracker membership_;
  std::uint64_t list_version_ = 0;
  bool has_list_ = false;
  bool is_shut_down_ = false;
  // Shared with timer callbacks, which may run after the node is destroyed and then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettleyoke::lab
