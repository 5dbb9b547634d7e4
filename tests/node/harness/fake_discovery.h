/// @file
/// The discovery agent that a node watches, and the endpoint lists that it sends.
#pragma once

#include <sys/socket.h>

#include <mutex>
#include <string>
#include <vector>

#include "harness/eventually.h"
#include "harness/http_text.h"
#include "harness/listener.h"

namespace nettleyoke::node {

/// One endpoint of a list, as JSON.
inline std::string endpoint(const std::string& name, const std::string& address,
                            const std::string& status = "up") {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","group":0,"status":")" +
         status + R"(","weight":1.0,"since_ms":0})";
}

/// An endpoint list, as JSON on one line.
/// @param version    the list's `index`
/// @param complete   whether it replaces what is known, or adds changes to it
/// @param endpoints  joined by commas
inline std::string endpoint_list(int version, bool complete, const std::string& endpoints) {
  return R"({"index":)" + std::to_string(version) + R"(,"snapshot":)" + (complete ? "true" : "false") +
         R"(,"endpoints":[)" + endpoints + "]}";
}

/// The answer to a watch that begins with a list.
inline std::string watch_response(const std::string& list) {
  return kChunkedResponseHead + http_chunk(list + "\n");
}

/// Answers each watch with a head and an empty line, or with what respond_with() was given, and keeps it
/// open; watch events are sent on the latest one, always behind its head.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_([this](Connection& connection) { serve(connection); }, port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }

  /// What the watches from now on are answered, head and all.
  void respond_with(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    response_ = bytes;
  }
  /// Sends bytes on the open watch, once there is one.
  /// @return whether they were sent within kWaitLimit
  bool send_raw(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return current_ != nullptr && current_->write(bytes);
    });
  }
  /// Sends a list on the open watch, once there is one.
  bool send_list(const std::string& list) { return send_raw(http_chunk(list + "\n")); }
  void end_watch() {
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr) ::shutdown(current_->fd(), SHUT_RDWR);
  }
  /// The heads of all calls so far.
  std::vector<std::string> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  // The head is written before another thread can send on the watch: the node ends a watch whose response
  // begins with anything else, and an event that was sent by then is lost.
  void serve(Connection& connection) {
    const std::string call = connection.read_message();
    if (call.empty()) return;
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(call);
      connection.write(response_.empty() ? kChunkedResponseHead + http_chunk("\n") : response_);
      current_ = &connection;
    }
    connection.read_to_end();
    const std::lock_guard lock(mutex_);
    if (current_ == &connection) current_ = nullptr;
  }

  std::mutex mutex_;
  std::string response_;
  std::vector<std::string> calls_;
  Connection* current_ = nullptr;
  Listener listener_;
};

}  // namespace nettleyoke::node
