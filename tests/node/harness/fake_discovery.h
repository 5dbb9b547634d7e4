/// @file
/// A fake of the discovery agent that a node watches, and the endpoint lists it sends.
#pragma once

#include <sys/socket.h>

#include <mutex>
#include <string>
#include <vector>

#include "harness/eventually.h"
#include "harness/http_text.h"
#include "harness/listener.h"

namespace nettleyoke::node {

/// Returns one endpoint of a list as JSON.
inline std::string endpoint(const std::string& name, const std::string& address,
                            const std::string& status = "up") {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","group":0,"status":")" +
         status + R"(","weight":1.0,"since_ms":0})";
}

/// Returns an endpoint list as one line of JSON.
/// @param version    the list's `index`
/// @param complete   true: it replaces the node's list; false: it contains only the changed endpoints
/// @param endpoints  the endpoints, joined by commas
inline std::string endpoint_list(int version, bool complete, const std::string& endpoints) {
  return R"({"index":)" + std::to_string(version) + R"(,"snapshot":)" + (complete ? "true" : "false") +
         R"(,"endpoints":[)" + endpoints + "]}";
}

/// Returns the beginning of a response to a watch: the header and `list`.
inline std::string watch_response(const std::string& list) {
  return kChunkedResponseHead + http_chunk(list + "\n");
}

/// Responds to each watch with a header and an empty line, or with the bytes passed to respond_with(), and
/// keeps the watch open. Watch events are sent on the latest watch, always after its header.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_([this](Connection& connection) { serve(connection); }, port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }

  /// Sets the response to later watches: its bytes, including the header.
  void respond_with(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    response_ = bytes;
  }
  /// Waits for an open watch and sends bytes on it.
  /// @return whether they were sent within kWaitLimit
  bool send_raw(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return latest_watch_ != nullptr && latest_watch_->write(bytes);
    });
  }
  /// Waits for an open watch and sends a list on it.
  /// @return whether it was sent within kWaitLimit
  bool send_list(const std::string& list) { return send_raw(http_chunk(list + "\n")); }
  void end_watch() {
    const std::lock_guard lock(mutex_);
    if (latest_watch_ != nullptr) ::shutdown(latest_watch_->fd(), SHUT_RDWR);
  }
  /// @return the HTTP requests received so far; each opens a watch
  std::vector<std::string> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  // Writes the header before another thread can send on the watch: the node ends a watch whose response
  // begins with anything else, and an event sent on it is lost.
  void serve(Connection& connection) {
    const std::string call = connection.read_message();
    if (call.empty()) return;
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(call);
      connection.write(response_.empty() ? kChunkedResponseHead + http_chunk("\n") : response_);
      latest_watch_ = &connection;
    }
    connection.read_to_end();
    const std::lock_guard lock(mutex_);
    if (latest_watch_ == &connection) latest_watch_ = nullptr;
  }

  std::mutex mutex_;
  std::string response_;
  std::vector<std::string> calls_;
  Connection* latest_watch_ = nullptr;
  Listener listener_;
};

}  // namespace nettleyoke::node
