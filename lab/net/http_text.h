/// @file
/// Formats and parses the HTTP messages of the stand-ins. Does no I/O.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace nettleyoke::lab::net {

/// The value of a header field; empty if the field is missing.
[[nodiscard]] std::string header_value(const boost::beast::http::fields& fields, const char* name);

/// A complete response with a Content-Length header.
/// @param extra_headers additional header lines, each ending in CRLF
[[nodiscard]] std::string response_text(unsigned status, const std::string& reason, const std::string& body,
                                        const std::string& extra_headers = "");

/// One chunk of a chunked body.
[[nodiscard]] std::string chunk_text(const std::string& bytes);

}  // namespace nettleyoke::lab::net
