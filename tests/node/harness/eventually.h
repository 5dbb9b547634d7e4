/// @file
/// Waiting for a condition. Where possible, tests wait for an event with a generous limit instead of sleeping
/// for a fixed time.
#pragma once

#include <chrono>
#include <thread>

namespace nettleyoke::node {

using namespace std::chrono_literals;

/// How long a test waits for an event. It is long because the machine may be slow, and only a test that fails
/// waits that long.
constexpr auto kWaitLimit = 20s;

/// kWaitLimit in milliseconds, for poll(2).
constexpr int kWaitLimitMilliseconds = static_cast<int>(std::chrono::milliseconds(kWaitLimit).count());

/// Polls until `condition` is true.
/// @return whether it became true within kWaitLimit
template <typename Condition>
bool eventually(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

/// Seconds that have passed since `start`.
inline double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

}  // namespace nettleyoke::node
