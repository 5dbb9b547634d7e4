/// @file
/// Actions: what a Balancer asks its host to do.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace nettleyoke {

/// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of their StartAttempt
/// actions.
struct StartAttempt {
  std::string id;
  std::string server;
  double timeout = 0;  ///< s that this replica waits for the answer.
  double deadline =
      0;  ///< s until the answer is of no use: passed on to the server, for the tiers behind it.
  /// s within which its last byte has to be written, or it is not sent at all: the servers drop duplicates of
  /// it no longer.
  std::optional<double> send_within = {};
};

/// Final answer: rejected; a retry by the client is harmless.
struct Reject {
  std::string id;
  double retry_after = 0;  ///< s; 0: no advice.
};

/// Final answer: failed; nothing is promised.
struct Fail {
  std::string id;
};

/// Stops waiting for one attempt.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

/// Asks for a TimerFired event.
struct SetTimer {
  double due_at = 0;  ///< Time of the host's clock, s.
  std::uint64_t token = 0;
};

/// Asks for the membership changes from now on.
struct WatchMembership {};

/// A line for the host's log.
struct LogLine {
  std::string text;
};

using Action = std::variant<StartAttempt, Reject, Fail, CancelAttempt, SetTimer, WatchMembership, LogLine>;

}  // namespace nettleyoke
