/// @file
/// Turns the bytes of one client's connection into requests. Owns the read-ahead buffer, the parser, and the
/// body as far as it is buffered or streamed; keeps what these hold within the memory budget. Never reads or
/// writes a socket, starts no timer and answers nothing: its connection does.
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
  /// Bytes that one read from the socket may bring.
  static constexpr std::size_t kReadBytes = 4096;

  /// What one step of the parser came to.
  struct ParseStep {
    std::optional<RequestError> error;  ///< the framing is lost; nothing more may be parsed
    bool is_head_completed = false;     ///< the head's last byte was in this step
    std::size_t body_bytes = 0;         ///< bytes of the body, at the start of the chunk
    std::size_t consumed_bytes = 0;     ///< of the read-ahead buffer; 0: waits for more
  };

  /// Where the body goes on.
  enum class BodyPlacement {
    kBuffered,  ///< as before: there is memory for it
    kStreamed,  ///< on to a server as it comes
    kRejected,  ///< there is no memory for it
  };

  explicit RequestReader(MemoryBudget& budget) : budget_(budget), reservation_(budget) {}

  /// @name Read-ahead buffer
  /// @{

  /// Where a read from the socket puts its bytes.
  boost::asio::mutable_buffer receive_buffer() { return boost::asio::buffer(received_); }
  /// Takes over the first bytes of the receive buffer.
  void append_received(std::size_t size);
  bool has_read_ahead() const { return read_ahead_.size() > 0; }
  /// Whether there is room for one more read, also in the stream that a body goes to.
  bool has_room_for_read() const;
  /// Drops what was read ahead, and its memory.
  void discard_read_ahead();
  /// Gives back the memory that only a large request needed. An idle connection would otherwise keep buffers
  /// as large as the largest request that it has ever carried.
  void shrink_read_ahead();
  /// Reserves memory for the read-ahead buffer and for so many bytes of an answer, and for nothing else.
  void reserve_with_answer(std::size_t answer_bytes) {
    reservation_.resize(read_ahead_.capacity() + answer_bytes);
  }

  /// @}
  /// @name Parsing
  /// @{

  /// Forgets the last request and waits for the first byte of the next.
  void start_request();
  /// A byte of the request has come.
  /// @return whether it is the first.
  bool mark_begun() { return !std::exchange(has_begun_, true); }
  bool has_begun() const { return has_begun_; }
  /// Feeds the parser once from the read-ahead buffer.
  /// @param chunk  receives bytes of the body.
  [[nodiscard]] ParseStep parse_step(std::span<char> chunk);
  bool is_head_complete() const { return parser_->is_header_done(); }
  bool is_complete() const { return parser_->is_done(); }
  const RequestHead& head() const { return parser_->get().base(); }

  /// @}
  /// @name Body
  /// @{

  /// The head is accepted: the time of the body runs from here.
  void start_body_clock() { head_completed_at_ = Clock::Steady::now(); }
  /// Buffers or streams a part of the body.
  void store_body(std::span<const char> bytes);
  /// How long the next byte of the body may take.
  std::chrono::duration<double> time_for_next_body_bytes() const;
  /// Decides on the body of a request that is not streamed, after each part, and reserves memory for it.
  [[nodiscard]] BodyPlacement place_body();
  /// Streams the body from here on. What was buffered stays with the request.
  void start_upload(boost::asio::io_context& io);
  /// Where the rest of the body goes until all of it has come; null where none is streamed.
  const std::shared_ptr<BodyPipe>& upload() const { return upload_; }
  bool is_uploading() const { return upload_ != nullptr; }
  /// Whether a body is streamed and its pipe has room.
  bool has_writable_upload() const { return upload_ && upload_->is_writable(); }
  /// The body's last byte has been streamed.
  void finish_upload() { std::exchange(upload_, nullptr)->finish(); }
  /// Nothing more comes of a streamed body, if there is one.
  void abort_upload() {
    if (upload_) std::exchange(upload_, nullptr)->abort();
  }

  /// @}

  /// The request with what is buffered of its body, which goes with it.
  HttpRequest take_request();

 private:
  double seconds_since_head() const;
  std::size_t body_buffer_limit() const;

  MemoryBudget& budget_;
  std::array<char, kReadBytes> received_{};
  boost::beast::flat_buffer read_ahead_;
  /// For the read-ahead buffer, and the body that is arriving or the answer that is being written.
  MemoryBudget::Reservation reservation_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::string body_;                     // as far as it is buffered
  std::size_t received_body_bytes_ = 0;  // buffered and streamed
  Clock::Steady::time_point head_completed_at_;
  std::shared_ptr<BodyPipe> upload_;
  bool has_begun_ = false;
};

}  // namespace nettleyoke::node
