#include "dispatch/request_log.h"

#include <cmath>

namespace nettleyoke::node {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

std::string milliseconds(double seconds) {
  return std::to_string(std::lround(seconds * kMillisecondsPerSecond)) + " ms";
}

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSucceeded:
      return "answered";
    case Outcome::kServerError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kConnectFailed:
      return "could not connect";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
    case Outcome::kUnknown:
      return "unreadable answer";
  }
  return "unknown";
}

// Empty if the outcome says enough.
const char* name_of(EndReason reason) {
  switch (reason) {
    case EndReason::kServer:
    case EndReason::kTimeout:
      return "";
    case EndReason::kRequestTimeOver:
      return " (time over before the request was written)";
    case EndReason::kRequestNotRead:
      return " (request not read)";
    case EndReason::kRequestUnconfirmed:
      return " (request not acknowledged)";
    case EndReason::kResponseIncomplete:
      return " (response incomplete)";
    case EndReason::kResponseSilent:
      return " (response stopped)";
    case EndReason::kResponseOverdue:
      return " (response overdue)";
  }
  return "";
}

const char* name_of(FinalAnswer::Kind kind) {
  switch (kind) {
    case FinalAnswer::Kind::kServed:
      return "served";
    case FinalAnswer::Kind::kRejected:
      return "rejected";
    case FinalAnswer::Kind::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

RequestHistory::RequestHistory(std::size_t request_class, double time_left)
    : text_(", class " + std::to_string(request_class) + ", given " + milliseconds(time_left)) {}

void RequestHistory::add_attempt(const std::string& server, const AttemptEnd& end) {
  text_ += ", " + server + " " + name_of(end.outcome) + " after " + milliseconds(end.elapsed);
  text_ += name_of(end.reason);
  needs_logging_ |= end.outcome != Outcome::kSucceeded;
}

void RequestHistory::add_final_answer(FinalAnswer::Kind kind, double elapsed) {
  text_ += std::string(", ") + name_of(kind) + " after " + milliseconds(elapsed);
  needs_logging_ |= kind != FinalAnswer::Kind::kServed;
}

void RequestHistory::add_client_disconnect(double elapsed) {
  text_ += ", client disconnected after " + milliseconds(elapsed);
  needs_logging_ = true;
}

void RequestLog::write(const std::string& id, const RequestHistory& history, double now) {
  if (history.needs_logging() && admit_line(now)) out_ << "request " << id << history.text() << '\n';
}

void RequestLog::write_client_stall(const std::string& id, const ClientStall& stall, double now) {
  if (!admit_line(now)) return;
  out_ << "request " << id << ", response cut off, client took nothing for " << milliseconds(stall.pause)
       << ", " << stall.acknowledged_bytes << " bytes before\n";
}

bool RequestLog::admit_line(double now) {
  if (now >= window_started_at_ + 1) {
    window_started_at_ = now;
    lines_in_window_ = 0;
  }
  lines_in_window_ += 1;
  return lines_in_window_ <= kMaxLinesPerSecond;
}

}  // namespace nettleyoke::node
