/// @file
/// Decides how long a streamed response may go on. Owns the times and sizes of what arrives; never uses a
/// socket or a timer.
#pragma once

#include <chrono>
#include <cstddef>

#include "clock.h"
#include "upstream/slow_response_policy.h"

namespace nettleyoke::node {

/// The client of a large response has its answer in time with the first bytes, and the server may take as
/// long as it sends. A small response has to be complete soon after the end of its request. While the size is
/// unknown the two look alike: from the end of the request on, the response must arrive fast enough to become
/// a large one. Otherwise a byte now and then would leave the request without a final answer for ever.
class StreamedResponsePolicy {
 public:
  using TimePoint = Clock::Steady::time_point;

  /// The size of the complete body, as far as it is known.
  enum class BodySize {
    kUnknown,
    kSmall,  ///< the length is known, and a body of that length may be buffered
    kLarge   ///< too large to be buffered
  };

  /// Silence after which any response is given up.
  static constexpr std::chrono::seconds kMaxSilence{3};
  /// From the end of the request on, the longest silence of a response that is not known to be large, and the
  /// period in which it must bring kMinBytesPerPeriod. A small response that ends more than 0.5 s after its
  /// time is lost.
  static constexpr std::chrono::milliseconds kPeriod{400};
  static constexpr auto kMinBytesPerPeriod = static_cast<std::size_t>(
      SlowResponsePolicy::kMinBytesPerSecond * std::chrono::duration<double>(kPeriod).count());

  /// The response is streamed from now on, or read again after a wait for its client.
  /// @param body_bytes that have arrived
  /// @param request_end the end of the time of the request
  void start(TimePoint now, std::size_t body_bytes, BodySize size, TimePoint request_end);
  /// Call after each read.
  /// @param body_bytes that have arrived
  void on_read(TimePoint now, std::size_t body_bytes, BodySize size);

  /// When should_give_up() has to be called, unless more arrives before.
  TimePoint due_at() const { return due_at_; }
  /// Call at due_at().
  /// @return whether to end the attempt; if not, due_at() has moved on
  [[nodiscard]] bool should_give_up(TimePoint now);
  /// Whether bytes have arrived of late, though too few.
  bool is_arriving(TimePoint now) const { return now < last_read_at_ + kPeriod; }

 private:
  void start_period(TimePoint now);

  BodySize size_ = BodySize::kUnknown;
  TimePoint request_end_;
  TimePoint last_read_at_;
  TimePoint due_at_;
  TimePoint period_end_;  // the first period starts at the end of the request
  std::size_t body_bytes_ = 0;
  std::size_t bytes_at_period_start_ = 0;
};

}  // namespace nettleyoke::node
