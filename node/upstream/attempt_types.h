/// @file
/// What a caller gives to an attempt and is notified of. Plain records without behaviour.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Notifications about one attempt, never from within the call that starts it.
///
/// Both give the seconds since the request was sent: up to the first bytes of the response where it had
/// begun, else up to now. A request whose body was still arriving counts as sent with its last byte.
struct AttemptCallbacks {
  /// At most once: a large response has begun, and its body arrives through the pipe.
  std::function<void(HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed)> begun;
  /// Exactly once. The response is set for Outcome::kSucceeded alone, and only if it had not begun before.
  std::function<void(Outcome, HttpResponse&&, double elapsed)> ended;
};

/// All in seconds, counted from the start of the attempt.
struct AttemptTimes {
  double timeout = 0;   ///< how long to wait for the response
  double deadline = 0;  ///< what the server is notified that it has; never less than `timeout`
  std::optional<double> send_within = {};  ///< the request fails if its last byte is not written by then
};

}  // namespace nettleyoke::node
