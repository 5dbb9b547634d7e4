/// @file
/// Requests of clients, valid by default.
#pragma once

#include <string>

namespace nettleyoke::node {

/// A request to a node. Empty fields are omitted from its text.
struct RequestBuilder {
  std::string request_class = "close";
  std::string id = "r1";
  std::string method = "POST";
  std::string body = "{}";
  std::string path = {};    ///< empty: a path of the class
  std::string fields = {};  ///< further header fields, each ending in CRLF
  std::string timeout_ms = "15000";
  std::string idempotency_key = {};

  std::string text() const {
    return method + " " + (path.empty() ? "/" + request_class + "/k1?x=1" : path) +
           " HTTP/1.1\r\nHost: origin.svc\r\n" + (id.empty() ? "" : "X-Request-ID: " + id + "\r\n") +
           "X-Priority-Class: " + request_class + "\r\nX-Tenant-Id: acme\r\n" +
           (timeout_ms.empty() ? "" : "X-Timeout-Ms: " + timeout_ms + "\r\n") +
           (idempotency_key.empty() ? "" : "Idempotency-Key: " + idempotency_key + "\r\n") + fields +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }
};

/// A request of one of the classes of NodeConfig that asks the node to close the connection after it.
inline RequestBuilder last_request_of_class(const std::string& request_class,
                                            const std::string& timeout_ms = "15000") {
  RequestBuilder request{.request_class = request_class, .timeout_ms = timeout_ms};
  request.fields = "Connection: close\r\n";
  if (request_class == "mark") request.idempotency_key = "k";
  if (request_class == "look") {
    request.method = "GET";
    request.body = "";
  }
  return request;
}

/// A GET request of the idempotent class, without a body.
inline RequestBuilder get_request(const std::string& id) {
  return {.request_class = "look", .id = id, .method = "GET", .body = ""};
}

}  // namespace nettleyoke::node
