/// @file
/// Parses the bytes of one client connection into requests. Owns the read-ahead buffer, the parser, and the
/// buffered body or the pipe for a streamed one; reserves their memory from the memory budget. The connection
/// does the socket I/O, runs the timers and writes the responses.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "clock.h"
#include "downstream/request_validation.h"
#include "http/body_pipe.h"
#include "http/memory_budget.h"
#include "http/message.h"

namespace nettleyoke::node {

class RequestReader {
 public:
  /// Maximum bytes of one read from the socket.
  static constexpr std::size_t kReadBytes = 4096;

  /// The result of one step of the parser.
  struct ParseStep {
    std::optional<RequestError> error;  ///< if set, the end of the request is unknown: parse nothing more
    bool is_memory_exhausted = false;   ///< if set, the budget does not have the memory of the head
    bool is_head_completed = false;     ///< this step parsed the last byte of the head
    std::size_t body_bytes = 0;         ///< bytes of the body, stored at the start of the chunk
    std::size_t consumed_bytes = 0;     ///< bytes taken from the read-ahead buffer; 0: needs more input
  };

  /// What to do with a body.
  enum class BodyPlacement {
    kBuffered,  ///< keep it in memory
    kStreamed,  ///< stream it to a server as it arrives
    kRejected,  ///< reject the request: there is no memory for the body
  };

  explicit RequestReader(MemoryBudget& budget) : budget_(budget), reservation_(budget) {}

  /// @name Read-ahead buffer
  /// @{

  /// The buffer for a read from the socket.
  boost::asio::mutable_buffer receive_buffer() { return boost::asio::buffer(received_); }
  /// Appends the first `size` bytes of the receive buffer to the read-ahead buffer.
  void append_received(std::size_t size);
  bool has_read_ahead() const { return read_ahead_.size() > 0; }
  /// Whether the read-ahead buffer and, if a body is streamed, its pipe can take the bytes of one more read.
  /// While there is memory, much is read ahead, because the end of the connection can be behind it.
  bool has_room_for_read() const;
  /// Discards the read-ahead bytes and frees their memory.
  void discard_read_ahead();
  /// Frees memory that only a large request needed. Otherwise an idle connection would keep a buffer as large
  /// as the largest request that it has ever received.
  void shrink_read_ahead();
  /// Sets the reservation to what the reader holds plus `response_bytes`.
  void reserve_with_response(std::size_t response_bytes) {
    reservation_.resize(memory_bytes() + response_bytes);
  }

  /// @}
  /// @name Parsing
  /// @{

  /// Resets the parser and the body for the next request.
  void start_request();
  /// Records that a byte of the request has arrived.
  /// @return whether it is the first byte.
  bool mark_begun() { return !std::exchange(has_begun_, true); }
  bool has_begun() const { return has_begun_; }
  /// Runs the parser once on the read-ahead buffer.
  /// @param chunk  receives bytes of the body.
  [[nodiscard]] ParseStep parse_step(std::span<char> chunk);
  bool is_head_complete() const { return parser_->is_header_done(); }
  bool is_complete() const { return parser_->is_done(); }
  /// The head that has been parsed; empty once the request is taken or released.
  const RequestHead& head() const { return parser_->get().base(); }
  /// The HTTP version of the request; 10 or 11.
  unsigned http_version() const { return http_version_; }

  /// @}
  /// @name Body
  /// @{

  /// Starts measuring the transfer rate of the body. Call when the head is accepted.
  void start_body_clock() { head_completed_at_ = Clock::Steady::now(); }
  /// Appends a part of the body to the buffer, or to the pipe if the body is streamed.
  void store_body(std::span<const char> bytes);
  /// How long to wait for the next bytes of the body; negative if the body is late already.
  std::chrono::duration<double> time_for_next_body_bytes() const;
  /// Reserves memory for a body that is not streamed and decides what to do with it. Call after each part.
  [[nodiscard]] BodyPlacement place_body();
  /// Streams the body from here on. The part that was buffered stays with the request.
  void start_upload(boost::asio::io_context& io);
  /// Bytes of the body that have not been parsed, if its length is known.
  std::optional<std::uint64_t> remaining_body_bytes() const;
  /// The pipe for the remaining body, until the body is complete; null if none is being streamed.
  const std::shared_ptr<BodyPipe>& upload() const { return upload_; }
  bool is_uploading() const { return upload_ != nullptr; }
  /// Whether a body is streamed and its pipe is writable.
  bool has_writable_upload() const { return upload_ && upload_->is_writable(); }
  /// Ends the pipe of a streamed body that is complete.
  void finish_upload() { std::exchange(upload_, nullptr)->finish(); }
  /// Aborts the pipe of an incomplete streamed body, if there is one.
  void abort_upload() {
    if (upload_) std::exchange(upload_, nullptr)->abort();
  }

  /// @}

  /// Returns the request with its buffered body. The reader keeps neither.
  HttpRequest take_request();
  /// Frees the head and the buffered body of a request that is not needed any more.
  void release_request();

 private:
  double seconds_since_head() const;
  std::size_t memory_bytes() const { return read_ahead_.capacity() + body_.capacity() + head_memory_bytes_; }
  [[nodiscard]] bool reserve_for_head();
  std::size_t body_buffer_limit() const;

  MemoryBudget& budget_;
  std::array<char, kReadBytes> received_{};
  boost::beast::flat_buffer read_ahead_;
  /// Covers the read-ahead buffer, the request that is arriving, and the response that is being written.
  MemoryBudget::Reservation reservation_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::size_t head_memory_bytes_ = 0;  // of the parsed fields, and of those about to be parsed
  unsigned http_version_ = 11;
  std::string body_;                     // the buffered part
  std::size_t received_body_bytes_ = 0;  // buffered and streamed
  Clock::Steady::time_point head_completed_at_;
  std::shared_ptr<BodyPipe> upload_;
  bool has_begun_ = false;
};

}  // namespace nettleyoke::node
