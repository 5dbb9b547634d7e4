/// @file
/// The clock of a node.
///
/// The decision library measures time in seconds since the node started. This class converts between those
/// seconds and the steady clock that timers use.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>

namespace nettleyoke::node {

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  /// Seconds since the node started.
  double now() const { return to_seconds(Steady::now()); }
  /// The steady-clock time that is `seconds` after the node started.
  Steady::time_point to_time_point(double seconds) const { return start_ + to_duration(seconds); }
  /// The reverse of to_time_point().
  double to_seconds(Steady::time_point time) const {
    return std::chrono::duration<double>(time - start_).count();
  }
  /// Converts seconds to a duration of the steady clock.
  static Steady::duration to_duration(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }

  /// Converts a Unix time to seconds since the node started; negative for a time before the start.
  ///
  /// 0 means "long ago" on both sides: it stays 0, and no other time is converted to 0.
  ///
  /// The offset between the two clocks is measured once. If it were measured at each call, the same start
  /// time of a server would give slightly different results and look like a restart of the server.
  ///
  /// @param unix_ms milliseconds since the Unix epoch
  double from_unix_ms(std::int64_t unix_ms) const {
    constexpr double kMillisecondsPerSecond = 1000;
    constexpr double kSmallestNonZeroSeconds = 1e-6;
    if (unix_ms == 0) return 0;
    const double seconds = static_cast<double>(unix_ms - unix_start_ms_) / kMillisecondsPerSecond;
    return seconds == 0 ? kSmallestNonZeroSeconds : seconds;
  }

 private:
  Steady::time_point start_ = Steady::now();
  std::int64_t unix_start_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
};

/// Cancels a timer without throwing.
///
/// If the timer has already expired, its handler may be queued and still runs without an error. Such a
/// handler has to compare the timer's expiry with the current time: this call sets the expiry to a time that
/// is never reached.
inline void cancel_timer(boost::asio::steady_timer& timer) {
  boost::system::error_code ignored;
  timer.expires_at(Clock::Steady::time_point::max(), ignored);
}

}  // namespace nettleyoke::node
