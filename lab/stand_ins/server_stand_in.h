/// @file
/// A server on loopback, as the protocol specification (PROTOCOL) requires: a ServerModel over HTTP with
/// keep-alive connections. If there is a next tier, the server calls it through its own node before it
/// responds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "load/http_client.h"
#include "load/random_stream.h"
#include "net/loopback.h"
#include "stand_ins/server_model.h"

namespace nettleyoke::lab {

class ServerStandIn {
 public:
  struct Limits {
    std::size_t connections = 256;  ///< above this number, requests are rejected unprocessed
    double idle_timeout = 30;       ///< s before an idle connection is closed
  };
  /// The client and node through which this server calls the next tier, if there is one.
  struct NextTier {
    HttpClient* client = nullptr;
    std::size_t node = 0;  ///< the number of this server's own node in the invariant checker
  };
  /// Whether this server is partitioned from a node: their messages are lost.
  using IsPartitioned = std::function<bool(std::size_t node)>;
  using DirectAttemptId = std::uint64_t;

  ServerStandIn(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                const std::string& name, const ServerModel::Parameters& parameters, const Limits& limits,
                const std::vector<ClassSpec>& classes, std::uint64_t seed);
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  bool is_up() const { return listener_.is_open(); }
  std::string address() const;                    ///< changes with each start()
  std::size_t number() const { return number_; }  ///< its number in the invariant checker
  const std::string& name() const { return name_; }
  ServerModel& model() { return model_; }
  std::size_t connections_accepted() const { return connections_accepted_; }

  void set_next_tier(const NextTier& next_tier) { next_tier_ = next_tier; }
  void set_is_partitioned(IsPartitioned is_partitioned) { is_partitioned_ = std::move(is_partitioned); }

  /// Starts an attempt from a hollow node, without a connection. The server must be up.
  /// @param time_left s until the deadline
  /// @param on_end called once, never from within this call, unless the attempt is cancelled first
  DirectAttemptId start_direct(const std::string& id, std::size_t node, std::size_t request_class,
                               double time_left, std::function<void(AttemptOutcome)> on_end);
  void cancel_direct(DirectAttemptId attempt_id);

  /// Crashes the process: open connections are reset and new ones refused.
  void crash();
  /// Starts a new process on a new address. If the server is up, it crashes first.
  void start();

 private:
  class Connection;
  struct DirectAttempt {
    std::string id;
    InvariantChecker::AttemptIndex index = 0;
    ServerModel::JobId job_id = 0;
    std::function<void(AttemptOutcome)> on_end;
    std::shared_ptr<bool> is_connected = std::make_shared<bool>(true);
  };
  void end_direct(DirectAttemptId attempt_id, AttemptOutcome outcome);
  void listen();
  double draw_work(std::size_t request_class);

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  InvariantChecker& checker_;
  std::string name_;
  std::size_t number_;
  ServerModel model_;
  Limits limits_;
  std::vector<ClassSpec> classes_;
  RandomStream random_;
  NextTier next_tier_;
  IsPartitioned is_partitioned_;
  net::LoopbackListener listener_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::map<DirectAttemptId, DirectAttempt> direct_attempts_;
  DirectAttemptId last_direct_attempt_ = 0;
  std::size_t connections_accepted_ = 0;
};

}  // namespace nettleyoke::lab
