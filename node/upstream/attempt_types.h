/// @file
/// The time limits of an attempt, and the callbacks that report its response and its outcome. Plain records.
#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <optional>

#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Why an attempt ended.
enum class EndReason {
  kServer,           ///< the server responded, closed or could not be reached; or the attempt was cancelled
  kTimeout,          ///< no response before the attempt's timeout
  kRequestTimeOver,  ///< the time of the request ended before the server had all of it
  kRequestNotRead,   ///< the server read nothing of the request for too long
  kRequestUnconfirmed,  ///< the server's system has not acknowledged all of the request
  kResponseIncomplete,  ///< the response had begun and was not complete in time
  kResponseSilent,      ///< the streamed response stopped
  kResponseOverdue      ///< the streamed response brought too little after the end of the request's time
};

/// How an attempt ended.
struct AttemptEnd {
  Outcome outcome = Outcome::kUnknown;
  EndReason reason = EndReason::kServer;
  bool was_sent = false;  ///< the last byte of the request was written
  /// s from the start of the attempt or, if the request's body was still arriving then, from the time when
  /// the last byte of the request was written. Up to the first byte of a streamed response, or else to the
  /// end.
  double elapsed = 0;
};

/// Callbacks about one attempt. They never run inside the call that starts the attempt. For `elapsed` see
/// AttemptEnd.
struct AttemptCallbacks {
  /// Called at most once, when a large response has started; its body follows through the pipe.
  std::function<void(HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed)>
      on_response_started;
  /// Called exactly once. The response is set only for Outcome::kSucceeded, and only if on_response_started
  /// was not called.
  std::function<void(const AttemptEnd&, HttpResponse&&)> on_ended;
  /// Whether the request would be retried if this attempt ended now with a response that is incomplete.
  std::function<bool()> may_retry = [] { return false; };
};

/// Time limits of an attempt, in seconds from its start.
struct AttemptTimeLimits {
  /// How long to wait for the response. If the request's body is still arriving at the start, the wait begins
  /// when the last byte of the request is written.
  double timeout = 0;
  /// Until the time of the request ends; infinite while its body is still arriving. A response that has begun
  /// by the end of `timeout` may be waited for until then.
  double request_time = std::numeric_limits<double>::infinity();
  double deadline = 0;  ///< the time that X-Timeout-Ms gives the server; raised to `timeout` if it is less
  std::optional<double> send_within = {};  ///< the attempt fails if the last byte is not written by then
};

}  // namespace nettleyoke::node
