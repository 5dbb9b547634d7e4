#include "upstream/response_reader.h"

#include <boost/asio/error.hpp>
#include <cstdint>

namespace nettleyoke::node {
namespace {

namespace http = boost::beast::http;

constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one
constexpr std::size_t kBodyChunkBytes = std::size_t{16} * 1024;

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

void ResponseReader::reset() {
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kBodyLimit);
  // An eager parser may parse a part of the body together with the head, before the body buffer is set.
  parser_->eager(false);
  body_bytes_ = 0;
}

ResponseReader::Parser& ResponseReader::prepare_read() {
  body_chunk_.resize(kBodyChunkBytes);
  http::buffer_body::value_type& target = parser_->get().body();
  target.data = body_chunk_.data();
  target.size = body_chunk_.size();
  target.more = true;
  return *parser_;
}

void ResponseReader::consume_read() {
  const std::size_t count = kBodyChunkBytes - parser_->get().body().size;
  body_bytes_ += count;
  if (pipe_) {
    pipe_->write(body_chunk_.data(), count);
  } else {
    body_.append(body_chunk_.data(), count);
  }
}

bool ResponseReader::is_large() const {
  return parser_->is_header_done() && (body_bytes_ > kMaxUnstreamedBodyBytes ||
                                       parser_->content_length().value_or(0) > kMaxUnstreamedBodyBytes);
}

StreamedResponsePolicy::BodySize ResponseReader::body_size() const {
  using BodySize = StreamedResponsePolicy::BodySize;
  if (is_large()) return BodySize::kLarge;
  return parser_->content_length() ? BodySize::kSmall : BodySize::kUnknown;
}

SlowResponsePolicy::Progress ResponseReader::progress() const {
  const bool is_streamable = parser_->is_header_done() && !parser_->content_length() && is_ok();
  return {is_streamable, body_bytes_};
}

bool ResponseReader::is_interim() const {
  return http::to_status_class(parser_->get().result_int()) == http::status_class::informational;
}

bool ResponseReader::accept_interim() {
  if (parser_->get().result() == http::status::switching_protocols) return false;
  interim_responses_ += 1;
  return interim_responses_ <= kMaxInterimResponses;
}

bool ResponseReader::is_cut_short() const {
  const auto& response = parser_->get();
  return response.need_eof() && !response.has_content_length() && !response.chunked() &&
         !http::token_list(response[http::field::connection]).exists("close");
}

Outcome ResponseReader::outcome() const {
  const auto& response = parser_->get();
  switch (response.result_int()) {
    case kOk:
      return Outcome::kSucceeded;
    case kServiceUnavailable:
    case kGatewayTimeout:
      // Without this header the response may come from a tier behind the server, and the server may have
      // executed the request.
      return response["X-Not-Processed"] == "1" ? Outcome::kRejected : Outcome::kServerError;
    default:
      return Outcome::kServerError;
  }
}

// A server that sends a malformed response had the request and may have executed it, as after a disconnect.
Outcome ResponseReader::outcome_of_read_error(const boost::system::error_code& error) {
  const bool is_disconnect = error == http::error::end_of_stream || error == http::error::partial_message ||
                             error.category() == boost::system::system_category() ||
                             error.category() == boost::asio::error::get_misc_category();
  return is_disconnect ? Outcome::kReset : Outcome::kUnknown;
}

HttpResponse ResponseReader::head() const {
  HttpResponse response;
  response.base() = parser_->get().base();
  return response;
}

void ResponseReader::start_streaming(boost::asio::io_context& io, MemoryBudget& budget) {
  std::optional<std::uint64_t> length;
  if (const auto content_length = parser_->content_length()) length = *content_length;
  pipe_ = std::make_shared<BodyPipe>(io, budget, length);
  pipe_->write(body_.data(), body_.size());
  body_ = {};
}

std::size_t ResponseReader::memory_bytes() const {
  return body_chunk_.capacity() + (is_streaming() ? 0 : body_.capacity());
}

}  // namespace nettleyoke::node
