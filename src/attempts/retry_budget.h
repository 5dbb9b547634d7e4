/// @file
/// How many retries a replica may add to its traffic.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// A token bucket that first attempts fill and retries empty, so that retries stay a small part of the
/// traffic. Owns the tokens, which all requests of the replica share.
class RetryBudget {
 public:
  /// Whether a retry of the request is allowed and worthwhile: it can be sent again, has attempts left, the
  /// budget holds a token and there is time for an answer.
  [[nodiscard]] bool allows_retry(double now, const RequestState& request) const;

  /// A request's first attempt was sent.
  void on_first_attempt();
  /// A retry was sent.
  void on_retry();

 private:
  // Retries saved up at most: failures come in clusters.
  static constexpr double kMaxTokens = 6;

  double tokens_ = kMaxTokens;
};

}  // namespace nettleyoke
