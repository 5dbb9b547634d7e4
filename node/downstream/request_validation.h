/// @file
/// Decides whether a request is well-formed for the catalog and reads it into an event of the decision
/// library. Pure functions on one request; no state, no sockets.
#pragma once

#include <optional>
#include <string_view>

#include "downstream/request_catalog.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// Why a request is answered with an error of the client's (4xx).
struct RequestError {
  boost::beast::http::status status;
  /// The body of the answer, without a line's end; a string literal.
  const char* reason;
};

/// The classes of the catalog that a request may name.
enum class AcceptedClasses {
  kInForce,
  kInForceOrPrevious,  ///< shortly after a reload: also those that were in force before it
};

/// The request's path without its query.
std::string_view path_of(const HttpRequest& request);

/// Whether the head leaves open where the body ends. Two ways to tell the length may hide a second request in
/// the body.
[[nodiscard]] bool is_length_ambiguous(const RequestHead& head);

/// Reads a request into `event`: class, id, time left, tenant, retry mark and work.
/// @param event  filled in; its content is unspecified where an error is returned.
/// @return what is wrong with the request by the classes in force, or nothing.
[[nodiscard]] std::optional<RequestError> validate_request(const HttpRequest& request,
                                                           const RequestCatalog& catalog,
                                                           AcceptedClasses accepted, Request& event);

}  // namespace nettleyoke::node
