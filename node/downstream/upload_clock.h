/// @file
/// Tells when the time of a streamed request began, although the node may not have read its last byte yet.
/// Holds times only; never uses a socket or a timer.
#pragma once

#include <cstdint>
#include <optional>

#include "clock.h"

namespace nettleyoke::node {

/// The time of a request counts from the moment when its client has written the last byte. While the node
/// does not read, because it has no memory for a body that its server takes slowly, the operating systems on
/// the way may hold that byte for seconds. Therefore the time is counted from the last moment at which the
/// client had certainly not written all.
class UploadClock {
 public:
  using TimePoint = Clock::Steady::time_point;

  /// A body begins to be streamed.
  /// @param time_limit how long after its last byte the request must be answered
  void start(TimePoint now, Clock::Steady::duration time_limit);
  /// All bytes that have arrived are read, and the body is incomplete.
  void on_drained(TimePoint now);
  /// The node stops to read.
  /// @param remaining_bytes of the body, if known
  void on_blocked(TimePoint now, std::optional<std::uint64_t> remaining_bytes);
  /// The node reads again.
  void on_unblocked() { is_blocked_ = false; }

  bool is_blocked() const { return is_blocked_; }
  /// When the request must be answered if the node stays blocked; empty while its client can't have written
  /// all.
  std::optional<TimePoint> answer_due_at() const;
  /// When the last byte was written at the earliest, once it is read.
  TimePoint last_byte_written_at(TimePoint now) const { return was_blocked_ ? incomplete_at_ : now; }

 private:
  TimePoint incomplete_at_;  // the last moment at which the client had certainly not written all
  Clock::Steady::duration time_limit_{};
  bool is_blocked_ = false;
  bool was_blocked_ = false;  // since `incomplete_at_`
};

}  // namespace nettleyoke::node
