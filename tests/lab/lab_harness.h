// An event loop beside the test, for the lab's stand-ins.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

#include "node_harness.h"

namespace nettleyoke::lab {

// Runs an event loop beside the test, from start() on; what it serves is made before and goes after.
class Loop {
 public:
  ~Loop() { stop(); }
  boost::asio::io_context& io() { return io_; }
  void start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  // In the loop's own thread, and done once this returns.
  template <typename What>
  void in_loop(What what) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      what();
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

}  // namespace nettleyoke::lab
