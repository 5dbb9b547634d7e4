/// @file
/// A discovery agent that fails in a stated way, one call after another, before it answers.
#pragma once

#include <poll.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "harness/fake_discovery.h"

namespace nettleyoke::node {

/// What a scripted discovery does with a call, once it has read it.
enum class DiscoveryStep {
  kReset,              ///< breaks off
  kSilence,            ///< says nothing
  kHead,               ///< the head of an answer, then nothing
  kHalfList,           ///< a half of the list, then nothing
  kTrickle,            ///< the list, ever slower than it could be waited for
  kOneEmptyLine,       ///< one empty line, then nothing
  kEndlessEmptyLines,  ///< empty lines alone, for good
};

/// Follows a script, one step a call, then answers each call with the list and keeps it open.
class ScriptedDiscovery {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param endpoints  of the list, joined by commas
  ScriptedDiscovery(std::vector<DiscoveryStep> script, const std::string& endpoints)
      : script_(std::move(script)),
        list_(endpoint_list(9, true, endpoints) + "\n"),
        listener_([this](Connection& connection) { serve(connection); }) {}
  std::string address() const { return listener_.address(); }
  std::size_t calls() {
    const std::lock_guard lock(mutex_);
    return call_times_.size();
  }
  /// Seconds from `start`, or from the first call, to the call that the list answers; endless where none
  /// comes.
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
      fail_by(script_[call], connection);
    }
    connection.read_to_end();
  }

  void fail_by(DiscoveryStep step, Connection& connection) {
    if (step == DiscoveryStep::kSilence) return;
    connection.write(kChunkedResponseHead);
    if (step == DiscoveryStep::kHalfList) connection.write(http_chunk(list_.substr(0, list_.size() / 2)));
    if (step == DiscoveryStep::kOneEmptyLine) connection.write(http_chunk("\n"));
    if (step == DiscoveryStep::kTrickle) trickle(connection);
    if (step == DiscoveryStep::kEndlessEmptyLines) {
      do {
        connection.write(http_chunk("\n"));
      } while (!was_ended(connection));
    }
  }
  void trickle(Connection& connection) {
    for (std::size_t i = 0; !was_ended(connection); ++i) {
      connection.write(http_chunk(list_.substr(i, i + 2 < list_.size() ? 1 : 0)));
    }
  }
  /// Whether the node has ended the call; polls for a fifth of a second.
  static bool was_ended(Connection& connection) {
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
