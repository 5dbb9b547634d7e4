/// @file
/// The time limits of an attempt, and the callbacks that report its response and its outcome. Plain records.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Callbacks about one attempt. They never run inside the call that starts the attempt.
///
/// Both receive `elapsed`, in seconds. It begins at the start of the attempt or, if the request's body is
/// still arriving then, when the last byte of the request is written. It ends at the first byte of a streamed
/// response, or at the callback if the response is not streamed.
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
  /// How long to wait for the response. If the request's body is still arriving at the start, the wait begins
  /// when the last byte of the request is written.
  double timeout = 0;
  double deadline = 0;  ///< the time that X-Timeout-Ms gives the server; raised to `timeout` if it is less
  std::optional<double> send_within = {};  ///< the attempt fails if the last byte is not written by then
};

}  // namespace nettleyoke::node
