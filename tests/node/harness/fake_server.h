/// @file
/// A server behind the node, whose answers the test decides on.
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

/// Blocks the answers of a server until open() is called.
class Gate {
 public:
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
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

/// Answers each request by what `reply` does on its connection, and records the requests.
class FakeServer {
 public:
  /// Returning false ends the connection.
  using Reply = std::function<bool(Connection&, const std::string& request)>;
  explicit FakeServer(Reply reply)
      : reply_(std::move(reply)), listener_([this](Connection& connection) { serve(connection); }) {}

  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  /// Whether it comes to have received just so many requests.
  bool eventually_received(std::size_t count) {
    return eventually([&] { return requests().size() == count; });
  }
  /// Connections that the node closed.
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

/// The same answer to every request.
inline FakeServer::Reply always_reply(int status, const std::string& body, const std::string& fields = "") {
  return [=](Connection& connection, const std::string&) {
    return connection.write(http_response(status, body, fields));
  };
}

/// The same answer to every request, once the gate is open.
inline FakeServer::Reply reply_after(Gate& gate, int status = 200, const std::string& body = "ok",
                                     const std::string& fields = "") {
  return [=, &gate](Connection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(status, body, fields));
  };
}

/// No answer at all, on a connection that stays open.
inline FakeServer::Reply never_reply() {
  return [](Connection&, const std::string&) { return true; };
}

}  // namespace nettleyoke::node
