/// @file
/// A request that is forwarded from a client to a server, with the memory reserved for it.
#pragma once

#include "http/body_pipe.h"
#include "http/memory_budget.h"
#include "http/message.h"

namespace nettleyoke::node {

/// Shared by the attempts of one request; its memory stays reserved until the last attempt has ended.
struct ForwardedRequest {
  explicit ForwardedRequest(MemoryBudget& budget) : reservation(budget) {}

  /// Reserves memory for `request`.
  /// @return false if the memory budget does not allow it.
  [[nodiscard]] bool reserve_for(const HttpRequest& request);

  OutgoingRequest outgoing;
  MemoryBudget::Reservation reservation;
};

/// Replaces the fields and the HTTP version that belong to the client connection by those for a server
/// connection.
/// @param upload  the source of the remaining body; null if the request is complete.
void rewrite_for_server(HttpRequest& request, const BodyPipe* upload);

}  // namespace nettleyoke::node
