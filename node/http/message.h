/// @file
/// The HTTP message types of a node, and the size limits that apply to both its clients and its servers.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "http/body_pipe.h"

namespace nettleyoke::node {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
/// Request line and header fields, without a body.
using RequestHead = boost::beast::http::request_header<>;

/// Maximum bytes of the head of a request or a response.
constexpr std::uint32_t kHeaderLimit = 16 * 1024;
/// Up to this many bytes, a body is buffered completely before it is forwarded; a larger one may be streamed.
constexpr std::uint64_t kMaxUnstreamedBodyBytes = std::uint64_t{64} * 1024;
/// Maximum bytes of the body of a request or a response.
constexpr std::uint64_t kBodyLimit = std::uint64_t{64} * 1024 * 1024;

/// A request that is to be sent to a server.
struct OutgoingRequest {
  HttpRequest request;
  /// Delivers the part of the body that `request` does not hold, if the body is too large to be buffered and
  /// still arriving. Null if `request` holds the complete body.
  std::shared_ptr<BodyPipe> remaining_body;
  /// Whether the operating system has received the client's close of the connection; the event loop may not
  /// have handled it yet. Called just before an attempt begins.
  std::function<bool()> is_abandoned = {};

  /// Whether the request can be sent, or sent again: no part of `remaining_body` has been consumed.
  bool is_sendable() const { return !remaining_body || !remaining_body->has_been_read(); }
};

/// Erases the header fields that apply to one connection only and must not be forwarded.
template <typename Fields>
void remove_hop_by_hop_fields(Fields& fields) {
  namespace http = boost::beast::http;
  for (const http::field name :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect,
        http::field::content_length}) {
    fields.erase(name);
  }
}

}  // namespace nettleyoke::node
