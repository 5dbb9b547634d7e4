/// @file
/// What the log says of requests that ended badly. RequestHistory collects the line of one request;
/// RequestLog bounds how many lines are written.
#pragma once

#include <cstddef>
#include <ostream>
#include <string>

#include "dispatch/final_answer.h"
#include "nettleyoke/events.h"

namespace nettleyoke::node {

/// What became of one request, in the order in which it happened. All times are in seconds.
class RequestHistory {
 public:
  RequestHistory(std::size_t request_class, double time_left);

  void add_attempt(const std::string& server, Outcome outcome, double elapsed);
  void add_answer(FinalAnswer::Kind kind, double elapsed);
  void add_client_disconnect(double elapsed);

  /// Whether anything about the request went badly, so that it is worth a line.
  bool went_badly() const { return went_badly_; }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  bool went_badly_ = false;
};

/// Writes a line about each request that went badly, up to a bound, so that such a request can be followed
/// from its first byte to its last.
class RequestLog {
 public:
  /// A flood of failures gets no more lines than this.
  static constexpr int kMaxLinesPerSecond = 100;

  explicit RequestLog(std::ostream& out) : out_(out) {}

  /// @param now s on the node's clock
  void write(const std::string& id, const RequestHistory& history, double now);

 private:
  [[nodiscard]] bool admit_line(double now);

  std::ostream& out_;
  double second_began_at_ = 0;  // when the count began, anew each second
  int lines_this_second_ = 0;
};

}  // namespace nettleyoke::node
