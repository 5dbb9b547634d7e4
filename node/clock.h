/// The one clock of a node.
///
/// The decision library has its times as seconds since the node started; this class stands between those and
/// the steady clock that timers run on.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>

namespace nettleyoke::node {

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  /// Seconds since the node started.
  double now() const { return std::chrono::duration<double>(Steady::now() - start_).count(); }
  /// The point on the steady clock that lies so many seconds after the start.
  Steady::time_point at(double seconds) const { return start_ + span(seconds); }
  /// So many seconds as a duration of the steady clock.
  static Steady::duration span(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }

  /// A Unix time as seconds since the node started, negative where it lies before. Never 0 for a time that is
  /// known, and 0 for 0: that means "long ago", here as there.
  ///
  /// The offset between the clocks is taken once: were it taken anew, the same start of a server would come
  /// out a little different each time and look like another start.
  double from_unix_ms(std::int64_t unix_ms) const {
    constexpr double kMillisecondsPerSecond = 1000;
    constexpr double kSoonestKnownSeconds = 1e-6;
    if (unix_ms == 0) return 0;
    const double seconds = static_cast<double>(unix_ms - unix_start_ms_) / kMillisecondsPerSecond;
    return seconds == 0 ? kSoonestKnownSeconds : seconds;
  }

 private:
  Steady::time_point start_ = Steady::now();
  std::int64_t unix_start_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
};

/// Calls off a timer, also from where nothing may be thrown.
///
/// A handler whose timer has expired may be on its way already: it has to compare the timer's expiry, which
/// is never reached after this call, with the time.
inline void halt(boost::asio::steady_timer& timer) {
  boost::system::error_code ignored;
  timer.expires_at(Clock::Steady::time_point::max(), ignored);
}

}  // namespace nettleyoke::node
