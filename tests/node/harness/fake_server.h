/// @file
/// A fake server whose responses the test defines.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "harness/http_text.h"
#include "harness/listener.h"

namespace nettleyoke::node {

/// Blocks the responses of a server until open() is called.
class Gate {
 public:
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  /// Waits until the gate is open.
  /// @return whether it was opened within kWaitLimit
  bool wait() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [this] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

/// Records each request and calls `reply` to write the response.
class FakeServer {
 public:
  /// Writes the response to a request; returns false to end the connection.
  using Reply = std::function<bool(Connection&, const std::string& request)>;
  explicit FakeServer(Reply reply)
      : reply_(std::move(reply)), listener_([this](Connection& connection) { serve(connection); }) {}

  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  /// Waits until the number of requests received is `count`.
  /// @return whether it was within kWaitLimit
  bool eventually_received(std::size_t count) {
    return eventually([&] { return requests().size() == count; });
  }
  /// @return the number of connections closed by the node
  int closed_by_node() const { return closed_by_node_; }

 private:
  void serve(Connection& connection) {
    for (std::string request = connection.read_message(); !request.empty();
         request = connection.read_message()) {
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      if (!reply_(connection, request)) return;
    }
    ++closed_by_node_;
  }

  Reply reply_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<int> closed_by_node_ = 0;
  Listener listener_;
};

/// Writes the same response to every request.
inline FakeServer::Reply always_reply(int status, const std::string& body, const std::string& fields = "") {
  return [=](Connection& connection, const std::string&) {
    return connection.write(http_response(status, body, fields));
  };
}

/// Waits for the gate to open, then writes the same response to every request.
inline FakeServer::Reply reply_after(Gate& gate, int status = 200, const std::string& body = "ok",
                                     const std::string& fields = "") {
  return [=, &gate](Connection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(status, body, fields));
  };
}

/// Writes no response and keeps the connection open.
inline FakeServer::Reply never_reply() {
  return [](Connection&, const std::string&) { return true; };
}

}  // namespace nettleyoke::node
