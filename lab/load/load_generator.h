// Clients from outside: open-loop, so that they come whether or not those before them have their answers.
// All arrivals are drawn ahead from the seed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "load/random_stream.h"
#include "nodes/node_under_test.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

class Callers {
 public:
  // `nodes`: those of the first tier, which outlive this.
  Callers(boost::asio::io_context& io, const node::Clock& clock, Audit& audit, const Experiment& experiment,
          const CallersPlan& plan, std::vector<PlayedNode*> nodes, std::uint64_t seed);

  void start();
  // No more come from here on.
  void stop();
  std::size_t drawn() const { return arrivals_.size(); }
  // Whether all have come, and none waits to try again.
  bool is_done() const { return stopped_ || (next_ == arrivals_.size() && pauses_ == 0); }

 private:
  struct Arrival {
    double at = 0;
    PlayedNode* node = nullptr;
    PlayedNode::Call call;
  };
  void wait();
  void send(PlayedNode* node, const PlayedNode::Call& call, double give_up_at, int tries_left);
  void try_again(PlayedNode* node, PlayedNode::Call call, double give_up_at, int tries_left);

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Audit& audit_;
  const Experiment& experiment_;
  CallersPlan plan_;
  std::vector<PlayedNode*> nodes_;
  Draws draws_;
  std::vector<Arrival> arrivals_;
  std::size_t next_ = 0, pauses_ = 0;
  double began_ = 0;
  bool stopped_ = false;
  boost::asio::steady_timer timer_;
};

}  // namespace nettleyoke::lab
