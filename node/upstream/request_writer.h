/// @file
/// The bytes of one request on their way to a server. It owns what is not written yet and puts it on a socket
/// without ever waiting; the waits in between are its attempt's part.
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
    kAwaitingBody,    ///< nothing to write until more of the body has arrived
    kBodyAborted,     ///< the rest of the body will not arrive; the last byte was not written
    kAwaitingSocket,  ///< the socket takes no more now
    kFailed           ///< the server broke off or spoke early, or the time to send is over
  };

  /// @param reservation the memory that the request takes in its form on the wire
  explicit RequestWriter(MemoryBudget::Reservation& reservation) : reservation_(reservation) {}

  /// Takes a request that is complete, as OutgoingRequest has it.
  void assign(std::shared_ptr<const OutgoingRequest> request);
  /// @param deadline what the server is notified of as the time that it has
  /// @param send_by no byte is written after this
  void set_times(Clock::Steady::time_point deadline, Clock::Steady::time_point send_by);
  /// Whether the request's client has left, as far as this machine knows; before serialize() alone.
  bool is_abandoned() const { return request_->is_abandoned && request_->is_abandoned(); }
  /// Puts the request into its form on the wire and lets go of it.
  /// @return false if the memory budget does not allow it.
  [[nodiscard]] bool serialize(const boost::asio::ip::tcp::endpoint& server);
  /// Writes until the request is complete or has to wait.
  [[nodiscard]] Progress write(boost::asio::ip::tcp::socket& socket);
  /// Calls once when there is more of the body, or no more to come; after Progress::kAwaitingBody.
  void when_body_readable(std::function<void()> callback);
  /// Gives back the memory of a request that is complete.
  void release_memory();
  /// No more of the body is wanted. A body of which nothing was taken is left for the next attempt.
  void close_body();

  /// Whether the request's body was still arriving when the attempt began.
  bool is_streamed() const { return is_streamed_; }
  /// Whether a part of the body is still to arrive.
  bool has_remaining_body() const { return remaining_body_ != nullptr; }

 private:
  void finish_part();
  [[nodiscard]] bool load_next_piece();

  MemoryBudget::Reservation& reservation_;
  std::shared_ptr<const OutgoingRequest> request_;
  Clock::Steady::time_point deadline_;
  Clock::Steady::time_point send_by_ = Clock::Steady::time_point::max();
  std::string wire_;                                 // the head, and then a piece of the body at a time
  std::shared_ptr<const std::string> initial_body_;  // follows the head, where it is too large to be copied
  bool is_head_written_ = false;                     // `initial_body_` is being written
  std::size_t written_ = 0;                          // bytes of the part that is being written
  std::shared_ptr<BodyPipe> remaining_body_;         // empty once all of it is in `wire_`
  bool is_streamed_ = false;
};

}  // namespace nettleyoke::node
