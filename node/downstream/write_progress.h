/// @file
/// Tells whether a client still takes the response that is written to it. Holds times and counts only; never
/// uses a socket or a timer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "clock.h"

namespace nettleyoke::node {

/// A socket with a full send buffer accepts nothing until a large part of it is free, which takes a slow
/// client long. The bytes that the client's system has acknowledged tell sooner that the client takes some.
/// They do not tell of each byte either: a system whose receive buffer is full reports free space only in
/// steps.
class WriteProgress {
 public:
  using TimePoint = Clock::Steady::time_point;

  /// Between two calls of on_check() while a response is written or taken.
  static constexpr std::chrono::seconds kCheckInterval{1};
  /// How long a client may seem to take nothing, if its system can't hold much of the response.
  static constexpr std::chrono::seconds kMaxPause{10};
  /// A system with a full receive buffer reports free space once a sixteenth of the buffer is free; with the
  /// overhead of small segments a program may have to take up to this part of its bytes before.
  static constexpr double kReportedBufferPart = 1.0 / 4;

  /// A response begins to be written.
  void start(TimePoint now);
  /// A write begins after a wait for the server.
  void on_resumed(TimePoint now) { moved_at_ = now; }
  /// The socket has accepted bytes.
  void on_written(TimePoint now, std::size_t bytes);
  /// @param unacknowledged_bytes see node::unacknowledged_bytes()
  void on_check(TimePoint now, int unacknowledged_bytes);

  /// Whether on_check() was called since the last write.
  bool is_checked() const { return unacknowledged_bytes_.has_value(); }
  /// Whether the client has taken nothing for too long.
  bool has_stalled(TimePoint now) const { return now >= moved_at_ + max_pause(); }
  /// How long the client has seemed to take nothing.
  double seconds_since_progress(TimePoint now) const {
    return std::chrono::duration<double>(now - moved_at_).count();
  }
  /// Bytes of the response that the client's system has acknowledged, as of the last check.
  std::uint64_t acknowledged_bytes() const;

 private:
  Clock::Steady::duration max_pause() const;

  TimePoint moved_at_;  // of the last sign that the client takes bytes
  std::uint64_t written_bytes_ = 0;
  std::optional<int> unacknowledged_bytes_;  // since the last write
};

}  // namespace nettleyoke::node
