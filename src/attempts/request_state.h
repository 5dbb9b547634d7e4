/// @file
/// The state of an open request and its attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

#include "admission/tenant_rate_limiter.h"
#include "attempts/request_class_table.h"

namespace nettleyoke {

/// One attempt of a request.
struct AttemptRecord {
  std::size_t server = 0;    ///< Index into the server registry.
  double sent_at = 0;        ///< Time sent, s; for a body still in progress then, the time of its last byte.
  bool open = true;          ///< It has no result yet.
  bool may_have_run = true;  ///< The server may have executed it.
  bool response_incomplete = false;  ///< It was given up because its response was not complete in time.
  bool in_flight = false;            ///< It counts against the concurrency limits.
  /// Its response has started and was recorded as a success.
  bool success_recorded = false;
};

/// A request that has no final answer yet or has open attempts.
struct RequestState {
  std::shared_ptr<TenantRateLimiter> tenant;
  std::shared_ptr<RequestClassState> request_class;
  double useful_until = 0;              ///< Time, s, at which a response becomes worthless.
  double accepted_at = 0;               ///< Time of admission, s.
  std::vector<AttemptRecord> attempts;  ///< All attempts, in the order of their numbers.
  bool finished = false;                ///< It needs no final answer any more.
  bool response_started = false;        ///< A response is being streamed to the client.
  bool body_consumed = false;           ///< It cannot be sent again: a part of its body is no longer held.
  bool within_quota = false;            ///< Its tenant was within its quota when it arrived.
  bool body_in_progress = false;        ///< Its body is still arriving.

  [[nodiscard]] const RequestClass& class_settings() const { return request_class->class_settings; }
  [[nodiscard]] double time_left(double now) const { return useful_until - now; }

  [[nodiscard]] bool has_open_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.open; });
  }

  [[nodiscard]] bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.may_have_run; });
  }

  [[nodiscard]] bool had_incomplete_response() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.response_incomplete; });
  }

  [[nodiscard]] bool has_tried(std::size_t server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [=](const AttemptRecord& attempt) { return attempt.server == server; });
  }

  /// The attempt of this number; nullptr if there is none.
  [[nodiscard]] AttemptRecord* find_attempt(int number) {
    if (number < 0 || static_cast<std::size_t>(number) >= attempts.size()) return nullptr;
    return &attempts[static_cast<std::size_t>(number)];
  }
};

}  // namespace nettleyoke
