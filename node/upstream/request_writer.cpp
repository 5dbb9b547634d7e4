#include "upstream/request_writer.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>

#include "http/socket_helpers.h"

namespace nettleyoke::node {
namespace {

// A larger body is not copied behind its head but written after it.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} * 1024;
constexpr const char* kLastChunk = "0\r\n\r\n";
constexpr double kMillisecondsPerSecond = 1000;

bool is_chunked(const std::shared_ptr<BodyPipe>& remaining_body) {
  return remaining_body && !remaining_body->length();
}

// Encodes a piece of the body for the wire: as a chunk if the body has no known length.
std::string to_wire(std::string piece, const std::shared_ptr<BodyPipe>& remaining_body) {
  if (!is_chunked(remaining_body) || piece.empty()) return piece;
  std::ostringstream out;
  out << std::hex << piece.size() << "\r\n" << piece << "\r\n";
  return std::move(out).str();
}

}  // namespace

void RequestWriter::assign(std::shared_ptr<const OutgoingRequest> request) {
  request_ = std::move(request);
  remaining_body_ = request_->remaining_body;
  is_streamed_ = remaining_body_ != nullptr;
}

void RequestWriter::set_time_limits(Clock::Steady::time_point deadline,
                                    std::optional<Clock::Steady::time_point> send_by) {
  deadline_ = deadline;
  send_by_ = send_by;
}

bool RequestWriter::serialize(const boost::asio::ip::tcp::endpoint& server) {
  HttpRequest head;
  head.base() = request_->request.base();
  head.set(boost::beast::http::field::host,
           server.address().to_string() + ":" + std::to_string(server.port()));
  // The time that is left now: the wait for the connection may have used a part of it.
  const double time_left = std::chrono::duration<double>(deadline_ - Clock::Steady::now()).count();
  const double milliseconds = std::max(1.0, std::floor(time_left * kMillisecondsPerSecond));
  head.set("X-Timeout-Ms", std::to_string(static_cast<long long>(milliseconds)));
  std::ostringstream text;
  text << head.base();
  wire_bytes_ = std::move(text).str();
  const std::string& body = request_->request.body();
  if (body.size() > kMaxCopiedBodyBytes && !is_chunked(remaining_body_)) {
    initial_body_ = std::shared_ptr<const std::string>(request_, &body);
  } else {
    wire_bytes_ += to_wire(body, remaining_body_);
  }
  request_.reset();
  return reservation_.try_resize(wire_bytes_.size());
}

// Input that arrives before the last byte is written cannot be the response to this request; it would belong
// to the previous one, so the attempt fails. If the connection is closed before the last byte, the server has
// not executed the request.
RequestWriter::Progress RequestWriter::write(boost::asio::ip::tcp::socket& socket) {
  while (written_ < wire_bytes_.size() || initial_body_ || remaining_body_) {
    const std::string& part = initial_body_ && is_head_written_ ? *initial_body_ : wire_bytes_;
    if (written_ == part.size()) {
      if (initial_body_) {
        finish_part();
      } else if (!load_next_piece()) {
        return remaining_body_->is_aborted() ? Progress::kBodyAborted : Progress::kAwaitingBody;
      }
      continue;
    }
    if (is_readable(socket) || is_too_late()) return Progress::kFailed;
    const ssize_t sent = send_without_waiting(socket, part.data() + written_, part.size() - written_);
    if (sent > 0) {
      written_ += static_cast<std::size_t>(sent);
    } else if (sent < 0 && would_block()) {
      return Progress::kAwaitingSocket;
    } else if (sent == 0 || errno != EINTR) {
      return Progress::kFailed;
    }
  }
  return Progress::kComplete;
}

bool RequestWriter::is_too_late() const { return send_by_ && Clock::Steady::now() > *send_by_; }

// Called when the head is written, and again when `initial_body_` is written.
void RequestWriter::finish_part() {
  written_ = 0;
  if (!std::exchange(is_head_written_, true)) return;
  initial_body_.reset();
  wire_bytes_.clear();
}

// Loads the bytes of the body that have arrived into `wire_bytes_`. Returns false if there is nothing to
// write yet.
bool RequestWriter::load_next_piece() {
  std::string piece = remaining_body_->take();
  const bool has_bytes = !piece.empty();
  written_ = 0;
  wire_bytes_ = to_wire(std::move(piece), remaining_body_);
  reservation_.resize(wire_bytes_.capacity());
  if (has_bytes) return true;
  if (!remaining_body_->is_complete()) return false;
  if (is_chunked(remaining_body_)) wire_bytes_ = kLastChunk;
  remaining_body_.reset();
  return true;
}

void RequestWriter::when_body_readable(std::function<void()> callback) {
  remaining_body_->when_readable(std::move(callback));
}

void RequestWriter::release_memory() {
  wire_bytes_ = {};
  reservation_.resize(0);
}

void RequestWriter::close_body() {
  if (remaining_body_ && remaining_body_->has_been_read()) remaining_body_->close_reader();
}

}  // namespace nettleyoke::node
