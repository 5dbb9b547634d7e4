/// @file
/// The harness of the lab's tests: an event loop in a separate thread, request classes and rules, and a
/// fixture for tests of stand-ins.
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

/// Runs an event loop in a separate thread from start() to stop(). Create the objects that use the loop
/// before start(), and destroy them after stop().
class Loop {
 public:
  ~Loop() { stop(); }
  boost::asio::io_context& io() { return io_; }
  void start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  /// Calls `action` in the loop's thread and waits until it returns.
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

/// Returns a class whose requests take 0.1 ms of work.
inline ClassSpec class_spec(Idempotency idempotency) {
  ClassSpec spec;
  spec.name = "look";
  spec.idempotency = idempotency;
  spec.client_timeout = 2;
  spec.dedup_window = 1;
  spec.work = 0.0001;
  return spec;
}

/// Returns rules with an answer slack and a drain grace of 0.5 s each, and without hedging.
inline InvariantChecker::Rules strict_rules(std::vector<ClassSpec> classes) {
  return {0.5, 0.5, false, std::move(classes)};
}

/// Reads until the bytes received contain `end`.
/// @return these bytes; empty if the connection ends first
inline std::string read_until(node::Connection& connection, const std::string& end) {
  std::string text;
  while (text.find(end) == std::string::npos) {
    const std::string received = connection.read_some();
    if (received.empty()) return {};
    text += received;
  }
  return text;
}

/// A fixture with an event loop and a checker that has one node, for tests that connect to a stand-in.
struct StandInTest : testing::Test {
  node::Clock clock;
  InvariantChecker checker{strict_rules({class_spec(Idempotency::kIdempotent)})};
  std::size_t node_number = checker.add_node("n0");
  Loop loop;

  void SetUp() override { loop.start(); }
  void TearDown() override { loop.stop(); }
};

}  // namespace nettleyoke::lab
