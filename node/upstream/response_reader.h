/// @file
/// Parses one response as it arrives and classifies it. Owns the parser and either the buffered body or the
/// pipe through which the body is streamed. Never uses a socket or a timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/memory_budget.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"
#include "upstream/slow_response_policy.h"
#include "upstream/streamed_response_policy.h"

namespace nettleyoke::node {

class ResponseReader {
 public:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Prepares for a new response; also needed after each interim (1xx) response.
  void reset();
  /// Provides the buffer for the next bytes of the body.
  /// @return the parser to read into
  Parser& prepare_read();
  /// Adds the body bytes of the last read, if any, to the buffered body or the pipe.
  void consume_read();

  bool is_done() const { return parser_->is_done(); }
  /// Whether the body is known to be larger than kMaxUnstreamedBodyBytes, also while it is streamed.
  bool is_large() const;
  /// The size of the complete body; only valid once the head is complete.
  StreamedResponsePolicy::BodySize body_size() const;
  /// What has arrived of a response that is not streamed yet.
  SlowResponsePolicy::Progress progress() const;
  /// Bytes of the body that have arrived, buffered or streamed.
  std::size_t body_bytes() const { return body_bytes_; }
  bool is_ok() const { return parser_->get().result() == boost::beast::http::status::ok; }
  /// Whether the head is complete and tells that the response is for the client.
  bool can_be_streamed() const { return parser_->is_header_done() && is_ok(); }
  /// Whether the head is complete and tells that the attempt has failed.
  bool has_failed() const { return parser_->is_header_done() && !is_ok() && !is_interim(); }
  bool is_interim() const;
  /// Counts an interim response.
  /// @return false if it is 101 (Switching Protocols), which cannot be skipped, or exceeds the maximum number
  [[nodiscard]] bool accept_interim();
  /// Whether only the close of the connection ended the body, and the server had not announced the close: the
  /// body may be incomplete.
  bool is_cut_short() const;
  bool keeps_connection_open() const { return parser_->keep_alive(); }
  /// The outcome of the attempt according to the status and the header fields of the response.
  Outcome outcome() const;
  /// The outcome of an attempt whose response could not be read to its end.
  static Outcome outcome_of_read_error(const boost::system::error_code& error);

  HttpResponse head() const;
  std::string take_body() { return std::move(body_); }
  /// Bytes of memory that the response uses, without the connection's buffer.
  std::size_t memory_bytes() const;

  /// Starts to stream the body: writes the buffered part to a new pipe; later bytes go there as they arrive.
  void start_streaming(boost::asio::io_context& io, MemoryBudget& budget);
  bool is_streaming() const { return pipe_ != nullptr; }
  const std::shared_ptr<BodyPipe>& pipe() const { return pipe_; }

 private:
  std::optional<Parser> parser_;
  std::vector<char> body_chunk_;    // body bytes of the last read
  std::size_t body_bytes_ = 0;      // buffered and streamed
  std::string body_;                // buffered body of a response that is not streamed
  std::shared_ptr<BodyPipe> pipe_;  // set once the response is streamed
  int interim_responses_ = 0;
};

}  // namespace nettleyoke::node
