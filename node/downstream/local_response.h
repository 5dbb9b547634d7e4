/// @file
/// Responses that the node generates itself, without a server. Pure functions.
#pragma once

#include <string>

#include "admin/metrics.h"
#include "http/message.h"

namespace nettleyoke::node {

/// A plain-text response.
/// @param text  one line, including its line end.
HttpResponse text_response(boost::beast::http::status status, const std::string& text);

/// The 503 response for a request that is rejected for lack of capacity.
/// @param retry_after  s, sent as Retry-After; 0: the field is omitted.
HttpResponse overload_response(double retry_after);

/// The result to count for a request whose response has this status.
RequestResult result_of(boost::beast::http::status status);

}  // namespace nettleyoke::node
