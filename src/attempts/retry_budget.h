/// @file
/// The retry budget of a replica.
#pragma once

#include "attempts/request_state.h"

namespace nettleyoke {

/// A token bucket that first attempts fill and retries drain, so that retries stay a small fraction of the
/// traffic. Owns the tokens, which all requests of the replica share.
class RetryBudget {
 public:
  /// Whether a retry is allowed and useful: the request can be sent again and has attempts left, the budget
  /// holds a token, and there is time for a response.
  [[nodiscard]] bool allows_retry(double now, const RequestState& request) const;

  /// Adds tokens for the first attempt of a request.
  void on_first_attempt();
  /// Removes the token of a retry.
  void on_retry();

 private:
  // Number of retries that can be saved up, because failures occur in clusters.
  static constexpr double kMaxTokens = 6;

  double tokens_ = kMaxTokens;
};

}  // namespace nettleyoke
