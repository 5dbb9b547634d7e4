/// @file
/// A request and its attempts.
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
  double sent_at = 0;        ///< s
  bool open = true;          ///< Its result is still to come.
  bool may_have_run = true;  ///< The server may have executed it.
  bool in_flight = false;    ///< It counts towards the concurrency limits.
  bool learned = false;      ///< Its latency has been learned from: its response has started.
};

/// A request that still has to be answered, or has attempts open.
struct RequestState {
  std::shared_ptr<TenantRateLimiter> tenant;
  std::shared_ptr<RequestClassState> request_class;
  double useful_until = 0;              ///< s; when an answer becomes worthless.
  double accepted_at = 0;               ///< s
  std::vector<AttemptRecord> attempts;  ///< Attempt history, in the order of their numbers.
  bool finished = false;                ///< No answer is owed any more.
  bool response_started = false;        ///< The client has a part of a response.
  bool body_consumed = false;           ///< It can't be sent again: a part of its body is gone.
  bool within_quota = false;            ///< Its tenant had less than its quota when it came.
  bool body_in_progress = false;        ///< Its body is still arriving.

  [[nodiscard]] const RequestClass& rules() const { return request_class->rules; }
  [[nodiscard]] double time_left(double now) const { return useful_until - now; }

  [[nodiscard]] bool has_open_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.open; });
  }

  [[nodiscard]] bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.may_have_run; });
  }

  [[nodiscard]] bool has_tried(std::size_t server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [=](const AttemptRecord& attempt) { return attempt.server == server; });
  }

  /// The attempt of this number; none if the number was never given out.
  [[nodiscard]] AttemptRecord* find_attempt(int number) {
    if (number < 0 || static_cast<std::size_t>(number) >= attempts.size()) return nullptr;
    return &attempts[static_cast<std::size_t>(number)];
  }
};

}  // namespace nettleyoke
