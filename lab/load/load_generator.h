/// @file
/// Clients from outside. The load is open-loop: calls are sent whether or not those before them were
/// answered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "load/random_stream.h"
#include "nodes/node_under_test.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

/// Sends the calls of one load spec and retries those that may be retried. All arrivals are drawn from the
/// seed when it is made; it owns no connection.
class LoadGenerator {
 public:
  /// @param nodes those of the first tier, which outlive this
  LoadGenerator(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                const Experiment& experiment, const LoadSpec& spec, std::vector<NodeUnderTest*> nodes,
                std::uint64_t seed);

  void start();
  /// Sends no more calls from here on.
  void stop();
  std::size_t arrival_count() const { return arrivals_.size(); }
  /// Whether all calls were sent and none waits for its retry.
  bool is_done() const { return stopped_ || (next_arrival_ == arrivals_.size() && waiting_retries_ == 0); }

 private:
  struct Arrival {
    double at = 0;  // s from the start
    NodeUnderTest* node = nullptr;
    NodeUnderTest::Call call;
  };
  // What is left of a call's time and retries.
  struct RetryAllowance {
    double deadline = 0;  // on the lab's clock
    int retries_left = 0;
  };
  void draw_arrivals(std::uint64_t seed);
  NodeUnderTest::Call draw_call(RandomStream& random, const std::vector<double>& class_shares,
                                const std::vector<double>& tenant_shares) const;
  void wait_for_arrival();
  void send(NodeUnderTest* node, const NodeUnderTest::Call& call, RetryAllowance allowance);
  bool may_retry(const NodeUnderTest::Call& call, CallOutcome outcome) const;
  void schedule_retry(NodeUnderTest* node, NodeUnderTest::Call call, RetryAllowance allowance);

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  InvariantChecker& checker_;
  const Experiment& experiment_;
  LoadSpec spec_;
  std::vector<NodeUnderTest*> nodes_;
  RandomStream retry_random_;
  std::vector<Arrival> arrivals_;
  std::size_t next_arrival_ = 0, waiting_retries_ = 0;
  double started_at_ = 0;
  bool stopped_ = false;
  boost::asio::steady_timer timer_;
};

}  // namespace nettleyoke::lab
