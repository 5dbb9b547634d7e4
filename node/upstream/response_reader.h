/// @file
/// One response as it arrives: its parser, its body while that is kept complete, and the pipe of a body that
/// is passed on. It judges what has arrived and never touches a socket or a timer.
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

namespace nettleyoke::node {

class ResponseReader {
 public:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Starts anew, as after each interim response.
  void reset();
  /// Makes a place for the next bytes of the body.
  /// @return the parser to read into
  Parser& prepare_read();
  /// Takes in what the last read brought of the body, be it nothing.
  void consume_read();

  bool is_done() const { return parser_->is_done(); }
  /// Whether it is known to be larger than what is passed on complete.
  bool is_large() const;
  /// Whether one of no known length has arrived fast enough to be a large one in progress.
  /// @param seconds since its first byte
  bool is_making_progress(double seconds) const;
  bool is_ok() const { return parser_->get().result() == boost::beast::http::status::ok; }
  bool is_interim() const;
  /// Counts an interim response.
  /// @return false if it is one that can't be passed over, or one too many.
  [[nodiscard]] bool accept_interim();
  /// Whether it ends with its connection though the server did not say that it would close.
  bool is_cut_short() const;
  bool keeps_connection() const { return parser_->keep_alive(); }
  /// What a response with this head means for the request.
  Outcome outcome() const;
  /// What it means that a response could not be read to its end.
  static Outcome outcome_of_failed_read(const boost::system::error_code& problem);

  HttpResponse head() const;
  std::string take_body() { return std::move(body_); }
  /// Bytes of memory that it takes beside the connection's buffer.
  std::size_t memory() const;

  /// From here on the body is passed on as it arrives, first what has arrived so far.
  void start_streaming(boost::asio::io_context& io, MemoryBudget& budget);
  bool is_streaming() const { return pipe_ != nullptr; }
  const std::shared_ptr<BodyPipe>& pipe() const { return pipe_; }

 private:
  std::optional<Parser> parser_;
  std::vector<char> piece_;         // of the body, as it is parsed
  std::string body_;                // of a response that is passed on complete
  std::shared_ptr<BodyPipe> pipe_;  // of one that is not
  int interim_responses_ = 0;
};

}  // namespace nettleyoke::node
