/// @file
/// The HTTP messages of a node and the bounds that its client side and its server side both keep.
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
/// Request line and fields, without a body.
using RequestHead = boost::beast::http::request_header<>;

/// Bytes of the head of a request or a response.
constexpr std::uint32_t kHeaderLimit = 16 * 1024;
/// Bytes of a body that is always passed on complete; a larger one may be streamed.
constexpr std::uint64_t kWholeBody = std::uint64_t{64} * 1024;
/// Bytes of the body of a request or a response.
constexpr std::uint64_t kBodyLimit = std::uint64_t{64} * 1024 * 1024;

/// A request on its way to a server.
struct OutgoingRequest {
  HttpRequest request;
  /// Where the body comes from that `request` does not hold: it is larger than is buffered and is still
  /// arriving. Null where `request` is complete.
  std::shared_ptr<BodyPipe> rest;
  /// Whether the client has closed its side, as far as this machine knows, though the event loop may not have
  /// come to it yet. Called just before an attempt begins.
  std::function<bool()> is_abandoned = {};

  /// Whether it can be sent, or sent again: no part of its body has been consumed.
  bool is_complete() const { return !rest || !rest->has_been_read(); }
};

/// Erases the fields that belong to one connection and not to the message.
template <typename Fields>
void drop_hop_by_hop(Fields& fields) {
  namespace http = boost::beast::http;
  for (const http::field name :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect,
        http::field::content_length}) {
    fields.erase(name);
  }
}

}  // namespace nettleyoke::node
