/// @file
/// Waiting for a condition. The tests never wait for a stated time to pass where they can wait for what is to
/// happen, with a generous limit.
#pragma once

#include <chrono>
#include <thread>

namespace nettleyoke::node {

using namespace std::chrono_literals;

/// How long a test waits for what is to happen. A machine may be slow; a test that fails may take its time.
constexpr auto kWaitLimit = 20s;

/// The same for poll(2).
constexpr int kWaitLimitMilliseconds = static_cast<int>(std::chrono::milliseconds(kWaitLimit).count());

/// Polls until `condition` holds.
/// @return whether it came to hold within kWaitLimit
template <typename Condition>
bool eventually(Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

/// Seconds that have passed since `start`.
inline double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

}  // namespace nettleyoke::node
