/// @file
/// What a request's idempotency allows after attempts that may have run.
#pragma once

#include <optional>

#include "attempts/request_state.h"
#include "nettleyoke/events.h"

namespace nettleyoke {

/// Whether an outcome proves that the attempt never ran. An unknown outcome proves nothing: to take it for
/// harmless would repeat the effects of a request.
[[nodiscard]] bool proves_never_ran(Outcome outcome);

/// Whether another attempt may go to `candidate` after an earlier one at `earlier_server`.
/// @param rules Of the request's class.
[[nodiscard]] bool allows_attempt_after(double now, const RequestClass& rules, const AttemptRecord& earlier,
                                        const Server& earlier_server, const Server& candidate);

/// How long, s, a retry of a request with an idempotency key may take to be sent; none: there is no limit.
/// One that waits for a connection would else be sent past the time in which servers drop duplicates.
[[nodiscard]] std::optional<double> retry_send_limit(double now, const RequestState& request);

/// Whether the request may be rejected. A rejection promises that a retry by the client is harmless: only
/// when nothing can have run, or duplicates are dropped.
[[nodiscard]] bool may_reject(const RequestState& request);

}  // namespace nettleyoke
