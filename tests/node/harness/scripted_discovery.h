/// @file
/// A discovery agent whose first calls each fail in a way that the test chooses.
#pragma once

#include <poll.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "harness/fake_discovery.h"

namespace nettleyoke::node {

/// What a scripted discovery agent does after it has read a call.
enum class DiscoveryStep {
  kReset,              ///< closes the connection with an RST
  kSilence,            ///< sends nothing
  kHead,               ///< sends a response header, then nothing
  kIncompleteList,     ///< sends the first half of the list, then nothing
  kTrickle,            ///< sends the list one byte every 0.2 s, too slowly to complete in time
  kOneEmptyLine,       ///< sends one empty line, then nothing
  kEndlessEmptyLines,  ///< sends empty lines until the node ends the call
};

/// Performs one step of the script per call. Sends the list in response to each later call and keeps that
/// call open.
class ScriptedDiscovery {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param endpoints  the endpoints of the list, joined by commas
  ScriptedDiscovery(std::vector<DiscoveryStep> script, const std::string& endpoints)
      : script_(std::move(script)),
        list_(endpoint_list(9, true, endpoints) + "\n"),
        listener_([this](Connection& connection) { serve(connection); }) {}
  std::string address() const { return listener_.address(); }
  std::size_t calls() {
    const std::lock_guard lock(mutex_);
    return call_times_.size();
  }
  /// Waits for the first call after the script, whose response is the list.
  /// @param start  the time to measure from; none: the first call
  /// @return the seconds from `start` to that call; 1e9 if there is none within kWaitLimit
  double seconds_to_list(std::optional<Clock::time_point> start = std::nullopt) {
    if (!eventually([this] { return calls() > script_.size(); })) return 1e9;
    const std::lock_guard lock(mutex_);
    return std::chrono::duration<double>(call_times_[script_.size()] - start.value_or(call_times_[0]))
        .count();
  }

 private:
  void serve(Connection& connection) {
    if (connection.read_message().empty()) return;
    std::size_t call = 0;
    {
      const std::lock_guard lock(mutex_);
      call = call_times_.size();
      call_times_.push_back(Clock::now());
    }
    if (call >= script_.size()) {
      connection.write(kChunkedResponseHead + http_chunk(list_));
    } else if (script_[call] == DiscoveryStep::kReset) {
      return connection.reset();
    } else {
      perform(script_[call], connection);
    }
    connection.read_to_end();
  }

  void perform(DiscoveryStep step, Connection& connection) {
    if (step == DiscoveryStep::kSilence) return;
    connection.write(kChunkedResponseHead);
    if (step == DiscoveryStep::kIncompleteList)
      connection.write(http_chunk(list_.substr(0, list_.size() / 2)));
    if (step == DiscoveryStep::kOneEmptyLine) connection.write(http_chunk("\n"));
    if (step == DiscoveryStep::kTrickle) trickle(connection);
    if (step == DiscoveryStep::kEndlessEmptyLines) {
      do {
        connection.write(http_chunk("\n"));
      } while (!ended_by_node(connection));
    }
  }
  void trickle(Connection& connection) {
    for (std::size_t i = 0; !ended_by_node(connection); ++i) {
      connection.write(http_chunk(list_.substr(i, i + 2 < list_.size() ? 1 : 0)));
    }
  }
  /// Waits up to 200 ms for the node to end the call.
  /// @return whether it did
  static bool ended_by_node(Connection& connection) {
    pollfd readable{connection.fd(), POLLIN, 0};
    return ::poll(&readable, 1, 200) > 0;
  }

  const std::vector<DiscoveryStep> script_;
  const std::string list_;
  std::mutex mutex_;
  std::vector<Clock::time_point> call_times_;
  Listener listener_;
};

}  // namespace nettleyoke::node
