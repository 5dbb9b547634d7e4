#include "net/http_text.h"

#include <sstream>

namespace nettleyoke::lab::net {

std::string header_value(const boost::beast::http::fields& fields, const char* name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : std::string(found->value());
}

std::string response_text(unsigned status, const std::string& reason, const std::string& body,
                          const std::string& extra_headers) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra_headers + "\r\n" + body;
}

std::string chunk_text(const std::string& bytes) {
  std::ostringstream chunk;
  chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return chunk.str();
}

}  // namespace nettleyoke::lab::net
