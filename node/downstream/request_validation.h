/// @file
/// Checks whether a request is well-formed according to the request catalog and converts it into an event for
/// the decision library. Pure functions on one request; no state, no sockets.
#pragma once

#include <optional>
#include <string_view>

#include "downstream/request_catalog.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

/// A client error (4xx) that a request is rejected with.
struct RequestError {
  boost::beast::http::status status;
  /// The body of the response, without its line end; a string literal.
  const char* reason;
};

/// The classes of the catalog that a request may name.
enum class AcceptedClasses {
  kInForce,
  kInForceOrPrevious,  ///< shortly after a reload: also the classes that were in force before it
};

/// The request's path without its query.
std::string_view path_of(const HttpRequest& request);

/// Whether the head does not define one unambiguous body length. A head with two different lengths can hide a
/// second request inside the body (request smuggling).
[[nodiscard]] bool is_length_ambiguous(const RequestHead& head);

/// Validates a request and sets class, id, time left, tenant, client retry flag and work of `event`.
/// @param event  receives these values; its content is unspecified if an error is returned.
/// @return the error of an invalid request according to the classes in force; empty if the request is valid.
[[nodiscard]] std::optional<RequestError> validate_request(const HttpRequest& request,
                                                           const RequestCatalog& catalog,
                                                           AcceptedClasses accepted, Request& event);

}  // namespace nettleyoke::node
