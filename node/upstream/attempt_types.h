/// @file
/// The time limits that the starter of an attempt sets, and the callbacks that notify it. Plain records.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Callbacks about one attempt. They never run inside the call that starts the attempt.
///
/// Both receive `elapsed`: the seconds from the sending of the request to the first bytes of a streamed
/// response, or to the callback if the response is not streamed. A request whose body is still arriving when
/// the attempt starts counts as sent once its last byte is written.
struct AttemptCallbacks {
  /// Called at most once, when a large response has started; its body follows through the pipe.
  std::function<void(HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed)>
      on_response_started;
  /// Called exactly once. The response is set only for Outcome::kSucceeded, and only if on_response_started
  /// was not called.
  std::function<void(Outcome, HttpResponse&&, double elapsed)> on_ended;
};

/// Time limits of an attempt, in seconds from its start.
struct AttemptTimeLimits {
  double timeout = 0;   ///< how long to wait for the response
  double deadline = 0;  ///< the time that X-Timeout-Ms gives the server; raised to `timeout` if it is less
  std::optional<double> send_within = {};  ///< the attempt fails if the last byte is not written by then
};

}  // namespace nettleyoke::node
