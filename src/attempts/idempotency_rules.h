/// @file
/// What the idempotency of a request allows after attempts that may have run.
#pragma once

#include <optional>

#include "attempts/request_state.h"
#include "nettleyoke/events.h"

namespace nettleyoke {

/// Whether an outcome proves that the attempt never ran. An unknown outcome does not: a retry could repeat
/// the effects of the request.
[[nodiscard]] bool proves_never_ran(Outcome outcome);

/// Whether another attempt may be sent to `candidate` after an earlier one to `earlier_server`.
/// @param class_settings Settings of the request's class.
[[nodiscard]] bool allows_attempt_after(double now, const RequestClass& class_settings,
                                        const AttemptRecord& earlier, const Server& earlier_server,
                                        const Server& candidate);

/// The time, s, within which a retry of a request with an idempotency key must be sent; empty: no limit.
/// Without this limit, a retry that waits for a connection could be sent when the servers no longer drop
/// duplicates.
[[nodiscard]] std::optional<double> retry_send_limit(double now, const RequestState& request);

/// Whether the final answer may be Reject, which promises that a client retry is harmless: no attempt can
/// have run, or the request is idempotent, or every server drops duplicates.
[[nodiscard]] bool may_reject(const RequestState& request);

}  // namespace nettleyoke
