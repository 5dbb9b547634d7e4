/// @file
/// What tests of the lab share: an event loop beside the test, specs, and a server and an agent on loopback.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <string>
#include <thread>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "node_harness.h"
#include "run/experiment.h"

namespace nettleyoke::lab {

/// Runs an event loop beside the test, from start() on; what it serves is made before and destroyed after.
class Loop {
 public:
  ~Loop() { stop(); }
  boost::asio::io_context& io() { return io_; }
  void start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  /// Calls `action` in the loop's own thread and returns once it is done.
  template <typename Action>
  void in_loop(Action action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }
  void stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  std::thread thread_;
};

/// A class whose requests take next to no work.
inline ClassSpec class_spec(Idempotency idempotency) {
  ClassSpec spec;
  spec.name = "look";
  spec.idempotency = idempotency;
  spec.client_timeout = 2;
  spec.dedup_window = 1;
  spec.work = 0.0001;
  return spec;
}

/// Half a second of answer slack and of drain grace, no hedging.
inline InvariantChecker::Rules strict_rules(std::vector<ClassSpec> classes) {
  return {0.5, 0.5, false, std::move(classes)};
}

/// What comes up to and with `last`; empty where the connection ends before.
inline std::string read_until(node::Connection& connection, const std::string& last) {
  std::string text;
  while (text.find(last) == std::string::npos) {
    const std::string more = connection.read_some();
    if (more.empty()) return {};
    text += more;
  }
  return text;
}

/// A checker with one node and an event loop, for a stand-in that a test drives over sockets.
struct StandInTest : testing::Test {
  node::Clock clock;
  InvariantChecker checker{strict_rules({class_spec(Idempotency::kIdempotent)})};
  std::size_t node_number = checker.add_node("n0");
  Loop loop;

  void SetUp() override { loop.start(); }
  void TearDown() override { loop.stop(); }
};

}  // namespace nettleyoke::lab
