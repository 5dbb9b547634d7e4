/// @file
/// Decides what to do with a response that has begun, is incomplete and is not streamed yet (see
/// StreamedResponsePolicy). Owns the times of its arrival; never uses a socket or a timer.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "clock.h"

namespace nettleyoke::node {

/// A response that stops half-way should be given up soon, because another server may still answer. One whose
/// server writes slowly must not be cut off. Both look alike at first, and only one of them is retried: a
/// response that may not be retried is waited for until the time of its request ends.
class SlowResponsePolicy {
 public:
  using TimePoint = Clock::Steady::time_point;
  using Duration = Clock::Steady::duration;

  /// What has arrived of a response.
  struct Progress {
    /// Whether the body may be streamed before its size is known: the head is complete, successful and
    /// without a length.
    bool is_streamable = false;
    std::size_t body_bytes = 0;
  };
  enum class Decision {
    kWait,    ///< check again after kCheckInterval
    kStream,  ///< pass on what has arrived, and the rest as it arrives
    kGiveUp   ///< end the attempt
  };

  /// From the first byte of a response to the first check, and between two checks.
  static constexpr std::chrono::milliseconds kCheckInterval{250};
  /// A body that arrives more slowly counts as stopped: it would take longer than any request to become
  /// large.
  static constexpr double kMinBytesPerSecond = 8e3;

  /// The first byte of the response has arrived.
  void on_begun(TimePoint now);
  /// Call after each read.
  void on_read(TimePoint now, std::size_t body_bytes);

  bool has_begun() const { return begun_at_.has_value(); }
  /// The response was an interim one; the next has not begun.
  void reset();

  /// @param may_retry whether the request would be retried if the attempt ended now
  [[nodiscard]] Decision check(TimePoint now, const Progress& progress, bool may_retry) const;
  /// The decision when the time of the request is over; kStream or kGiveUp.
  [[nodiscard]] Decision decide_at_request_end(TimePoint now, const Progress& progress) const;

 private:
  [[nodiscard]] bool is_arriving(TimePoint now, const Progress& progress) const;
  [[nodiscard]] bool is_worth_streaming(TimePoint now, const Progress& progress) const;

  std::optional<TimePoint> begun_at_;
  std::optional<TimePoint> body_begun_at_;
};

}  // namespace nettleyoke::node
