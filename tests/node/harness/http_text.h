/// @file
/// HTTP/1.1 messages as text: functions that compose messages and functions that extract parts of them.
#pragma once

#include <cstddef>
#include <sstream>
#include <string>

namespace nettleyoke::node {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/// The header of a response with a chunked body, such as a discovery agent's response to a watch.
constexpr const char* kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A health check: whether the node accepts requests.
constexpr const char* kHealthRequest = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

/// @return the status of a response; 0 if it is empty or too short to have one
inline int status_of(const std::string& response) {
  return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

/// @return the value of a header field; empty if the message has no field of that name
inline std::string field_of(const std::string& message, const std::string& name) {
  const std::size_t at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return message.substr(from, message.find("\r\n", from) - from);
}

inline std::string body_of(const std::string& message) {
  const std::size_t at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

/// @param fields  further header fields, each ending in CRLF
inline std::string http_response(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

/// Returns `bytes` as one chunk of a body with `Transfer-Encoding: chunked`.
inline std::string http_chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

}  // namespace nettleyoke::node
