/// @file
/// Writes the responses of one client connection: complete ones, and large ones whose body is relayed as it
/// arrives from a server. Owns the response, the serializer and the source pipe of the body. The connection
/// runs the timers and closes the socket. Each write handler must keep the connection, and thereby the
/// writer, alive.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/body_pipe.h"
#include "http/message.h"

namespace nettleyoke::node {

class ResponseWriter {
 public:
  /// What to write next of a relayed body.
  enum class Chunk {
    kBytes,    ///< a part of the body
    kEnd,      ///< the end marker: all bytes have been written
    kNotYet,   ///< nothing until the server sends more
    kAborted,  ///< nothing more: the server aborted before the body was complete
  };

  /// @name Complete responses
  /// @{

  void prepare(HttpResponse&& response, bool keep_alive);

  /// @}
  /// @name Relayed responses
  /// @{

  /// @param http_version  version of the request; 10 or 11.
  /// @param keep_alive  whether the connection may stay open after the response.
  /// @return `keep_alive`, or false if the response must end with the connection: for an HTTP/1.0 client only
  /// the close marks the end of a body of unknown length.
  [[nodiscard]] bool prepare_relay(HttpResponse&& response, std::shared_ptr<BodyPipe> source,
                                   unsigned http_version, bool keep_alive);
  bool is_relaying() const { return source_ != nullptr; }
  /// Takes the bytes that have arrived from the source.
  [[nodiscard]] Chunk next_chunk();
  /// Memory of what next_chunk() took.
  std::size_t chunk_memory_bytes() const { return chunk_.capacity(); }
  /// Calls `callback` once when the source has bytes or has ended.
  void when_chunk_available(BodyPipe::Callback callback) { source_->when_readable(std::move(callback)); }
  /// Releases the state of a relayed response after its last byte is written.
  void finish_relay();
  /// Stops reading from the source, if there is one; its writer is notified.
  void close_source() {
    if (source_) std::exchange(source_, nullptr)->close_reader();
  }

  /// @}

  /// Writes as much of the prepared response as the socket accepts at once, of a relayed one the head and
  /// then what next_chunk() took. The handler gets http::error::need_buffer when that is written.
  template <typename Handler>
  void async_write_some(boost::asio::ip::tcp::socket& socket, Handler&& handler) {
    namespace http = boost::beast::http;
    if (relayed_serializer_) {
      http::async_write_some(socket, *relayed_serializer_, std::forward<Handler>(handler));
    } else {
      http::async_write_some(socket, *serializer_, std::forward<Handler>(handler));
    }
  }
  /// Whether the whole response is written.
  bool is_written() { return relayed_serializer_ ? relayed_serializer_->is_done() : serializer_->is_done(); }

  /// Status of the most recently prepared response.
  boost::beast::http::status status() const { return response_.result(); }
  /// Frees the memory of the most recent response.
  void release();

 private:
  HttpResponse response_;  // if relayed: holds the status only
  std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>> serializer_;
  std::shared_ptr<BodyPipe> source_;
  std::optional<boost::beast::http::response<boost::beast::http::buffer_body>> relayed_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> relayed_serializer_;
  std::string chunk_;
};

}  // namespace nettleyoke::node
