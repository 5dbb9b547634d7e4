/// @file
/// The load generator of a run: the clients that call the nodes. The load is open-loop: calls are sent at
/// their arrival times, whether or not earlier calls have ended.
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

/// Sends the calls of one load spec and the client retries that the spec allows. The constructor draws all
/// arrivals from the seed. The load generator owns no connection.
class LoadGenerator {
 public:
  /// @param nodes the nodes of the first tier; they must outlive the load generator
  LoadGenerator(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                const Experiment& experiment, const LoadSpec& spec, std::vector<NodeUnderTest*> nodes,
                std::uint64_t seed);

  void start();
  /// Stops sending calls and retries.
  void stop();
  std::size_t arrival_count() const { return arrivals_.size(); }
  /// Whether all calls were sent and no retry is waiting, or the load generator was stopped.
  bool is_done() const { return stopped_ || (next_arrival_ == arrivals_.size() && waiting_retries_ == 0); }

 private:
  struct Arrival {
    double at = 0;  // s after start()
    NodeUnderTest* node = nullptr;
    NodeUnderTest::Call call;
  };
  // The deadline of a call and the client retries that it has left.
  struct RetryAllowance {
    double deadline = 0;  // s on the lab's clock
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
