/// @file
/// Writes one request to a server's socket without blocking. Owns the bytes that are not written yet. The
/// attempt that uses it does the waiting.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "http/memory_budget.h"
#include "http/message.h"

namespace nettleyoke::node {

class RequestWriter {
 public:
  enum class Progress {
    kComplete,        ///< the last byte is written
    kAwaitingBody,    ///< nothing to write until more of the body arrives
    kBodyAborted,     ///< the body will not be completed; the last byte was not written
    kAwaitingSocket,  ///< the socket accepts no more bytes for now
    kFailed           ///< `send_by` has passed, or the server closed, reset or sent bytes early
  };

  /// @param reservation accounts for the memory of the serialized request
  explicit RequestWriter(MemoryBudget::Reservation& reservation) : reservation_(reservation) {}

  /// Sets the request to write; OutgoingRequest::is_sendable() has to hold for it.
  void assign(std::shared_ptr<const OutgoingRequest> request);
  /// @param deadline serialize() sends the time until then to the server, as X-Timeout-Ms
  /// @param send_by no byte is written after this time
  void set_time_limits(Clock::Steady::time_point deadline, std::optional<Clock::Steady::time_point> send_by);
  std::optional<Clock::Steady::time_point> send_by() const { return send_by_; }
  /// Whether the client has closed its connection (see OutgoingRequest::is_abandoned). Only valid before
  /// serialize().
  bool is_abandoned() const { return request_->is_abandoned && request_->is_abandoned(); }
  /// Serializes the request and releases it.
  /// @return false if the memory budget does not have the bytes
  [[nodiscard]] bool serialize(const boost::asio::ip::tcp::endpoint& server);
  /// Writes until the request is complete, has to wait or fails.
  [[nodiscard]] Progress write(boost::asio::ip::tcp::socket& socket);
  /// Calls `callback` once, when more of the body has arrived or its writer has ended it. Only valid after
  /// Progress::kAwaitingBody.
  void when_body_readable(std::function<void()> callback);
  /// Releases the memory and the reservation of a completely written request.
  void release_memory();
  /// Stops reading the body. If no part of the body has been read, the pipe stays open for the next attempt.
  void close_body();

  /// Whether the request's body was still arriving when the attempt started.
  bool is_streamed() const { return is_streamed_; }
  /// Whether a part of the body has still to be taken from the pipe.
  bool has_remaining_body() const { return remaining_body_ != nullptr; }

 private:
  bool is_too_late() const;
  void finish_part();
  [[nodiscard]] bool load_next_piece();

  MemoryBudget::Reservation& reservation_;
  std::shared_ptr<const OutgoingRequest> request_;
  Clock::Steady::time_point deadline_;
  std::optional<Clock::Steady::time_point> send_by_;
  std::string wire_bytes_;  // the head, then one piece of the body at a time
  // Sent after the head if it is too large to copy into `wire_bytes_`; null otherwise.
  std::shared_ptr<const std::string> initial_body_;
  bool is_head_written_ = false;              // true: `initial_body_` is being written, if there is one
  std::size_t written_ = 0;                   // written bytes of `wire_bytes_` or `initial_body_`
  std::shared_ptr<BodyPipe> remaining_body_;  // null once all of it is in `wire_bytes_`
  bool is_streamed_ = false;
};

}  // namespace nettleyoke::node
