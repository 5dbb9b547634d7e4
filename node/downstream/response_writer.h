/// @file
/// Writes the answers of one client's connection: complete ones, and large ones whose body is relayed as it
/// comes from a server. Owns the response, the serializer and the pipe that the body comes from; keeps no
/// timer and never closes the socket: its connection does. A handler keeps the connection, and with it the
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
  /// What there is to write next of a relayed body.
  enum class Chunk {
    kBytes,    ///< a part of it
    kEnd,      ///< what ends it: all of it is written
    kNotYet,   ///< nothing before the server sends more
    kAborted,  ///< nothing more, though the body is not complete
  };

  /// @name Complete responses
  /// @{

  void prepare(HttpResponse&& response, bool keep_alive);
  /// Writes the response that was prepared.
  template <typename Handler>
  void async_write(boost::asio::ip::tcp::socket& socket, Handler&& handler) {
    boost::beast::http::async_write(socket, response_, std::forward<Handler>(handler));
  }

  /// @}
  /// @name Relayed responses
  /// @{

  /// @param http_version  of the request; 10 or 11.
  /// @param keep_alive  whether the connection could go on.
  /// @return whether it can: to a client of HTTP/1.0 the end of a body of unknown length is that of the
  /// connection.
  [[nodiscard]] bool prepare_relay(HttpResponse&& response, std::shared_ptr<BodyPipe> source,
                                   unsigned http_version, bool keep_alive);
  bool is_relaying() const { return source_ != nullptr; }
  template <typename Handler>
  void async_write_head(boost::asio::ip::tcp::socket& socket, Handler&& handler) {
    boost::beast::http::async_write_header(socket, *serializer_, std::forward<Handler>(handler));
  }
  /// Takes what has come of the body.
  [[nodiscard]] Chunk next_chunk();
  /// Writes what next_chunk() took.
  template <typename Handler>
  void async_write_chunk(boost::asio::ip::tcp::socket& socket, Handler&& handler) {
    boost::beast::http::async_write(socket, *serializer_, std::forward<Handler>(handler));
  }
  /// Calls once when next_chunk() has something new to say.
  void when_chunk_available(BodyPipe::Callback callback) { source_->when_readable(std::move(callback)); }
  /// The last byte is written.
  void finish_relay();
  /// Wants nothing more of the source, if there is one.
  void close_source() {
    if (source_) std::exchange(source_, nullptr)->close_reader();
  }

  /// @}

  /// Status of the response that was prepared last.
  boost::beast::http::status status() const { return response_.result(); }
  /// Gives back the memory of the last response.
  void release() { response_ = {}; }

 private:
  HttpResponse response_;  // relayed: its status alone
  std::shared_ptr<BodyPipe> source_;
  std::optional<boost::beast::http::response<boost::beast::http::buffer_body>> relayed_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string chunk_;
};

}  // namespace nettleyoke::node
