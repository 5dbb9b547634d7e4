/// @file
/// HTTP messages as the stand-ins write and read them. Knows nothing of sockets.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace nettleyoke::lab::net {

/// The value of a header field; empty where there is none.
[[nodiscard]] std::string header_value(const boost::beast::http::fields& fields, const char* name);

/// A whole response with its length.
/// @param more_fields further header lines, each with its line's end
[[nodiscard]] std::string response_text(unsigned status, const std::string& reason, const std::string& body,
                                        const std::string& more_fields = "");

/// One chunk of a chunked body.
[[nodiscard]] std::string chunk_text(const std::string& bytes);

}  // namespace nettleyoke::lab::net
