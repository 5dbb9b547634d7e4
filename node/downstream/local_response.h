/// @file
/// The responses that a node gives by itself, without a server. Pure functions.
#pragma once

#include <string>

#include "admin/metrics.h"
#include "http/message.h"

namespace nettleyoke::node {

/// A response of one line of plain text; `text` with its line's end.
HttpResponse text_response(boost::beast::http::status status, const std::string& text);

/// 503 to a request that is not served for want of capacity.
/// @param retry_after  s, sent as Retry-After; 0: none is sent.
HttpResponse overload_response(double retry_after);

/// How a request counts whose response has this status.
RequestResult result_of(boost::beast::http::status status);

}  // namespace nettleyoke::node
