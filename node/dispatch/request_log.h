/// @file
/// The log lines of requests with errors. RequestHistory builds the line of one request; RequestLog limits
/// how many lines are written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>

#include "dispatch/final_answer.h"
#include "nettleyoke/events.h"
#include "upstream/attempt_types.h"

namespace nettleyoke::node {

/// The attempts and the end of one request, in the order in which they happened. All times are in seconds.
class RequestHistory {
 public:
  RequestHistory(std::size_t request_class, double time_left);

  void add_attempt(const std::string& server, const AttemptEnd& end);
  void add_final_answer(FinalAnswer::Kind kind, double elapsed);
  void add_client_disconnect(double elapsed);

  /// Whether an attempt did not succeed, the final answer was not a server's response, or the client
  /// disconnected.
  bool needs_logging() const { return needs_logging_; }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  bool needs_logging_ = false;
};

/// A client that takes nothing of a streamed response.
struct ClientStall {
  double pause = 0;                      ///< s since it last took some
  std::uint64_t acknowledged_bytes = 0;  ///< what its system has of the response
};

/// Writes one line with the whole history of each request that needs logging, up to a limit per second.
class RequestLog {
 public:
  /// Limits the log when many requests fail at once.
  static constexpr int kMaxLinesPerSecond = 100;

  explicit RequestLog(std::ostream& out) : out_(out) {}

  /// @param now s on the node's clock
  void write(const std::string& id, const RequestHistory& history, double now);
  /// The response to this request is cut off because its client has stalled.
  void write_client_stall(const std::string& id, const ClientStall& stall, double now);

 private:
  [[nodiscard]] bool admit_line(double now);

  std::ostream& out_;
  double window_started_at_ = 0;  // s; the window lasts one second
  int lines_in_window_ = 0;
};

}  // namespace nettleyoke::node
