/// @file
/// A listening socket that serves its connections with a function supplied by the test.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/connection.h"

namespace nettleyoke::node {

/// Accepts connections and runs `serve` for each in a separate thread. Owns the threads and joins them.
class Listener {
 public:
  /// @param port  a port of the loopback interface; 0: any free port
  explicit Listener(std::function<void(Connection&)> serve, int port = 0);
  ~Listener() { stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Closes the socket, ends the connections and waits for their threads.
  void stop();
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// @return the number of connections accepted so far
  int accepted() const { return accepted_; }
  /// @return the number of connections being served
  int open_connections();

 private:
  void accept_connections();
  void start_serving(FileDescriptor socket);

  std::function<void(Connection&)> serve_;
  FileDescriptor listener_;
  int port_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> open_descriptors_;
  std::vector<std::thread> serving_threads_;
  std::thread accept_thread_;
};

/// @return a free port without a listener: a connect to it is refused
inline int unused_port() {
  return Listener([](Connection&) {}).port();
}

}  // namespace nettleyoke::node
