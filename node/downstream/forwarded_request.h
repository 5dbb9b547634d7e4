/// @file
/// A request on its way from a client to a server, with the memory that it holds.
#pragma once

#include "http/body_pipe.h"
#include "http/memory_budget.h"
#include "http/message.h"

namespace nettleyoke::node {

/// Holds its memory until the last attempt with it has ended.
struct ForwardedRequest {
  explicit ForwardedRequest(MemoryBudget& budget) : reservation(budget) {}

  /// Reserves memory for what `request` holds.
  /// @return false where there is none.
  [[nodiscard]] bool reserve_for(const HttpRequest& request);

  OutgoingRequest outgoing;
  MemoryBudget::Reservation reservation;
};

/// Makes the request of a client's connection one for a server's.
/// @param upload  where the rest of the body comes from; null where the request is complete.
void rewrite_for_server(HttpRequest& request, const BodyPipe* upload);

}  // namespace nettleyoke::node
