/// @file
/// HTTP/1.1 messages as text: what the tests write on connections, and parts of what they read.
#pragma once

#include <cstddef>
#include <sstream>
#include <string>

namespace nettleyoke::node {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/// The head of an answer whose body comes in chunks, as discovery begins each answer to a watch.
constexpr const char* kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The call that tells whether a node wants requests.
constexpr const char* kHealthRequest = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

/// @return the status of a response; 0 where it is none, or is empty
inline int status_of(const std::string& response) {
  return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

/// @return the value of a header field; empty where the message has none of that name
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

/// @param fields  further header fields, each with its line end
inline std::string http_response(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

/// One chunk of a body with `Transfer-Encoding: chunked`.
inline std::string http_chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

}  // namespace nettleyoke::node
