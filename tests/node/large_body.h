/// @file
/// Bodies of any size, and the chunked transfer coding.
#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

#include "harness/http_text.h"

namespace nettleyoke::node {

/// A pseudo-random body, so that a comparison detects lost, duplicated or swapped parts.
inline std::string large_body(std::size_t size) {
  std::string body(size, '\0');
  std::uint32_t state = 1;
  for (char& c : body) {
    state = state * 1664525U + 1013904223U;
    c = static_cast<char>('a' + (state >> 24) % 26);
  }
  return body;
}

/// Encodes a body in chunks, up to and including the line of the last chunk. The trailers and the empty line
/// have to be appended.
/// @param extension  chunk extension that each chunk gets, with its semicolon
inline std::string chunked(const std::string& body, std::size_t chunk_size,
                           const std::string& extension = "") {
  std::ostringstream out;
  for (std::size_t at = 0; at < body.size(); at += chunk_size) {
    const std::string part = body.substr(at, chunk_size);
    out << std::hex << part.size() << extension << "\r\n" << part << "\r\n";
  }
  out << "0\r\n";
  return out.str();
}

/// Decodes a chunked body.
/// @return nullopt if the chunks are incomplete
inline std::optional<std::string> dechunked(const std::string& raw) {
  std::string body;
  for (std::size_t at = 0;;) {
    const std::size_t end = raw.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    const std::size_t size = std::stoul(raw.substr(at, end - at), nullptr, 16);
    if (size == 0) return body;
    if (raw.size() < end + 2 + size + 2) return std::nullopt;
    body += raw.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
}

/// The body of a response in any framing; "incomplete" if it is chunked and its chunks are incomplete.
inline std::string decoded_body(const std::string& response) {
  const std::string body = body_of(response);
  return field_of(response, "Transfer-Encoding") == "chunked" ? dechunked(body).value_or("incomplete") : body;
}

}  // namespace nettleyoke::node
