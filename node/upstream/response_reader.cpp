#include "upstream/response_reader.h"

#include <boost/asio/error.hpp>
#include <cstdint>

namespace nettleyoke::node {
namespace {

namespace http = boost::beast::http;

constexpr int kMaxInterimResponses = 8;  // 1xx ahead of a response
constexpr std::size_t kBodyPieceBytes = std::size_t{16} * 1024;
// The slowest that peers are said to send bodies at.
constexpr double kMinBodyBytesPerSecond = 64e3;

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

void ResponseReader::reset() {
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kBodyLimit);
  // An eager parser may take in a part of the body with the head, before there is a place for it.
  parser_->eager(false);
}

ResponseReader::Parser& ResponseReader::prepare_read() {
  piece_.resize(kBodyPieceBytes);
  http::buffer_body::value_type& target = parser_->get().body();
  target.data = piece_.data();
  target.size = piece_.size();
  target.more = true;
  return *parser_;
}

void ResponseReader::consume_read() {
  const std::size_t count = kBodyPieceBytes - parser_->get().body().size;
  if (pipe_) {
    pipe_->write(piece_.data(), count);
  } else {
    body_.append(piece_.data(), count);
  }
}

bool ResponseReader::is_large() const {
  return parser_->is_header_done() &&
         (body_.size() > kWholeBody || parser_->content_length().value_or(0) > kWholeBody);
}

bool ResponseReader::is_making_progress(double seconds) const {
  return parser_->is_header_done() && !parser_->content_length() && is_ok() &&
         static_cast<double>(body_.size()) >= kMinBodyBytesPerSecond * seconds;
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
      // Without the mark it may come from a tier behind the server, and the request may have run.
      return response["X-Not-Processed"] == "1" ? Outcome::kRejected : Outcome::kServerError;
    default:
      return Outcome::kServerError;
  }
}

// What can't be read as a response came from a server that had the request: it may have run too.
Outcome ResponseReader::outcome_of_failed_read(const boost::system::error_code& problem) {
  const bool is_disconnect = problem == http::error::end_of_stream ||
                             problem == http::error::partial_message ||
                             problem.category() == boost::system::system_category() ||
                             problem.category() == boost::asio::error::get_misc_category();
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

std::size_t ResponseReader::memory() const {
  return piece_.capacity() + (is_streaming() ? 0 : body_.capacity());
}

}  // namespace nettleyoke::node
