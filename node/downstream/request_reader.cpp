#include "downstream/request_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "downstream/connection_timeouts.h"
#include "http/message_memory.h"

namespace nettleyoke::node {

namespace http = boost::beast::http;
using boost::system::error_code;
using Seconds = std::chrono::duration<double>;

namespace {

/// Time after the head before that rate is required.
constexpr Seconds kBodyRateGrace{1.5};
/// A body that arrives at this rate or faster does not occupy a server for long.
constexpr double kFastBodyBytesPerSecond = 1e6;
/// Bytes of a body that are buffered, if there is memory, before the request is dispatched. Otherwise a
/// client that takes seconds to send its body would occupy a server, and count as a request in flight, for
/// that time.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{1} * 1024 * 1024;
/// A body of more than kMaxUnstreamedBodyBytes is buffered only while less than this fraction of the memory
/// budget is in use: the first for a body that arrives below kFastBodyBytesPerSecond, the second for others.
constexpr double kSlowBodyMemoryFraction = 0.75;
constexpr double kFastBodyMemoryFraction = 0.25;
/// A body that is incomplete is held only while less than this fraction is in use; the rest is for requests
/// that are complete and for responses.
constexpr double kIncompleteBodyMemoryFraction = 0.9;
/// Bytes that may wait to be parsed: a complete head, or the same amount of pipelined requests.
constexpr std::size_t kMinReadAheadBytes = kHeaderLimit + RequestReader::kReadBytes;
/// The same while less than this fraction of the memory budget is in use.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{256} * 1024;
constexpr double kReadAheadMemoryFraction = 0.5;
/// Bytes of read-ahead that an idle connection may keep allocated.
constexpr std::size_t kMaxIdleReadAheadBytes = RequestReader::kReadBytes;

std::optional<RequestError> to_request_error(const error_code& error) {
  static_assert(kBodyLimit == std::size_t{64} * 1024 * 1024 && kHeaderLimit == std::size_t{16} * 1024,
                "stated in the messages below");
  // need_more: the parser has consumed all it can use for now; need_buffer: it has filled the chunk.
  if (!error || error == http::error::need_more || error == http::error::need_buffer) return std::nullopt;
  if (error == http::error::body_limit) {
    return RequestError{http::status::payload_too_large, "body is too large; it must have at most 64 MiB"};
  }
  if (error == http::error::header_limit) {
    return RequestError{http::status::request_header_fields_too_large,
                        "request head is too large; it must have at most 16 KiB"};
  }
  return RequestError{http::status::bad_request, "request is malformed; it must be valid HTTP/1.x"};
}

}  // namespace

void RequestReader::append_received(std::size_t size) {
  const std::size_t capacity = read_ahead_.capacity();
  const boost::asio::mutable_buffer space = read_ahead_.prepare(size);
  std::copy_n(received_.begin(), size, static_cast<char*>(space.data()));
  read_ahead_.commit(size);
  reservation_.resize(reservation_.size() + read_ahead_.capacity() - capacity);
}

bool RequestReader::has_room_for_read() const {
  if (upload_ && !upload_->is_writable()) return false;
  const bool has_memory = budget_.is_below_fraction(kReadAheadMemoryFraction);
  return read_ahead_.size() <= (has_memory ? kMaxReadAheadBytes : kMinReadAheadBytes) - kReadBytes;
}

void RequestReader::discard_read_ahead() {
  read_ahead_.clear();
  read_ahead_.shrink_to_fit();
  reserve_with_response(0);
}

void RequestReader::shrink_read_ahead() {
  if (read_ahead_.capacity() > kMaxIdleReadAheadBytes) read_ahead_.shrink_to_fit();
  reserve_with_response(0);
}

void RequestReader::start_request() {
  has_begun_ = false;
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kBodyLimit);
  // An eager parser does not check the body limit if the head and a part of the body arrive together, and
  // would accept a length of gigabytes.
  parser_->eager(false);
  body_ = {};
  head_memory_bytes_ = 0;
  received_body_bytes_ = 0;
}

// The lines of the head that are about to be parsed are counted first, because the parser allocates memory
// for each.
bool RequestReader::reserve_for_head() {
  const boost::asio::const_buffer unparsed = read_ahead_.data();
  std::string_view text(static_cast<const char*>(unparsed.data()), unparsed.size());
  text = text.substr(0, text.find("\r\n\r\n"));
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
  const std::size_t parsed = fields_memory_bytes(parser_->get());
  head_memory_bytes_ = parsed + lines * kFieldOverheadBytes + text.size();
  return reservation_.try_resize(memory_bytes());
}

RequestReader::ParseStep RequestReader::parse_step(std::span<char> chunk) {
  http::buffer_body::value_type& body = parser_->get().body();
  body.data = chunk.data();
  body.size = chunk.size();
  body.more = true;
  const bool had_head = parser_->is_header_done();
  error_code error;
  ParseStep step;
  if (!had_head && !reserve_for_head()) {
    step.is_memory_exhausted = true;
    return step;
  }
  step.consumed_bytes = parser_->put(read_ahead_.data(), error);
  read_ahead_.consume(step.consumed_bytes);
  step.error = to_request_error(error);
  step.is_head_completed = parser_->is_header_done() && !had_head;
  if (step.is_head_completed) http_version_ = parser_->get().version();
  step.body_bytes = chunk.size() - body.size;
  return step;
}

void RequestReader::store_body(std::span<const char> bytes) {
  received_body_bytes_ += bytes.size();
  if (upload_) {
    upload_->write(bytes.data(), bytes.size());
  } else {
    body_.append(bytes.data(), bytes.size());
  }
}

double RequestReader::seconds_since_head() const {
  return Seconds(Clock::Steady::now() - head_completed_at_).count();
}

Seconds RequestReader::time_for_next_body_bytes() const {
  const double remaining = kBodyRateGrace.count() +
                           static_cast<double>(received_body_bytes_) / kMinClientBytesPerSecond -
                           seconds_since_head();
  return std::min(Seconds(kMaxBodyPause), Seconds(remaining));
}

RequestReader::BodyPlacement RequestReader::place_body() {
  const bool has_memory = is_complete() || budget_.is_below_fraction(kIncompleteBodyMemoryFraction);
  const bool is_reserved = has_memory && reservation_.try_resize(memory_bytes());
  if (is_reserved && body_.size() <= body_buffer_limit()) return BodyPlacement::kBuffered;
  if (is_complete()) return is_reserved ? BodyPlacement::kBuffered : BodyPlacement::kRejected;
  return body_.size() <= kMaxUnstreamedBodyBytes ? BodyPlacement::kRejected : BodyPlacement::kStreamed;
}

std::size_t RequestReader::body_buffer_limit() const {
  const bool is_slow =
      static_cast<double>(received_body_bytes_) < kFastBodyBytesPerSecond * seconds_since_head();
  return budget_.is_below_fraction(is_slow ? kSlowBodyMemoryFraction : kFastBodyMemoryFraction)
             ? kMaxBufferedBodyBytes
             : kMaxUnstreamedBodyBytes;
}

void RequestReader::start_upload(boost::asio::io_context& io) {
  const auto length = parser_->content_length();
  upload_ =
      std::make_shared<BodyPipe>(io, budget_, length ? std::optional<std::uint64_t>(*length) : std::nullopt,
                                 BodyPipe::Growth::kWithinBudget);
}

std::optional<std::uint64_t> RequestReader::remaining_body_bytes() const {
  const auto remaining = parser_->content_length_remaining();
  return remaining ? std::optional<std::uint64_t>(*remaining) : std::nullopt;
}

HttpRequest RequestReader::take_request() {
  HttpRequest request;
  request.base() = std::move(parser_->get().base());
  request.body() = std::move(body_);
  release_request();
  return request;
}

void RequestReader::release_request() {
  if (parser_) parser_->get().clear();
  body_ = {};
  head_memory_bytes_ = 0;
}

}  // namespace nettleyoke::node
