/// @file
/// Actions: what a Balancer tells its host to do.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace nettleyoke {

/// Sends an attempt to a server. The attempts of a request are numbered 0, 1, 2 ... in the order of their
/// StartAttempt actions.
struct StartAttempt {
  std::string id;       ///< Of the request; the same in all actions.
  std::string server;   ///< Address of the server.
  double timeout = 0;   ///< s that this replica waits for the response.
  double deadline = 0;  ///< s until the response is worthless; sent along for the tiers behind the server.
  /// s within which the last byte of the request must be written; otherwise the attempt must not be sent,
  /// because the servers no longer drop its duplicates. Empty: no limit.
  std::optional<double> send_within = {};
};

/// Final answer: the request is rejected. A retry by the client is harmless.
struct Reject {
  std::string id;
  double retry_after = 0;  ///< Value of Retry-After, s; 0: none is sent.
};

/// Final answer: the request failed. It may have run, so that a retry by the client may repeat its effects.
struct Fail {
  std::string id;
};

/// Cancels one attempt.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

/// Sets a timer. When it expires, the host sends a TimerFired event with the same token.
struct SetTimer {
  double due_at = 0;  ///< Time of the host's clock, s.
  std::uint64_t token = 0;
};

/// Starts to watch the membership: its changes arrive as MembershipUpdate events.
struct WatchMembership {};

/// Writes a line to the host's log.
struct LogLine {
  std::string text;
};

using Action = std::variant<StartAttempt, Reject, Fail, CancelAttempt, SetTimer, WatchMembership, LogLine>;

}  // namespace nettleyoke
