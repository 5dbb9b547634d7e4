/// @file
/// The connections to one server and the attempts that wait for a connection. Owns the idle connections and
/// the queue of waiting attempts. Does not depend on the contents of requests and responses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "clock.h"
#include "upstream/upstream_context.h"

namespace nettleyoke::node {

class ServerConnection;
class UpstreamAttempt;

class ServerPool : public std::enable_shared_from_this<ServerPool> {
 public:
  explicit ServerPool(std::shared_ptr<UpstreamContext> context);

  /// Applies an update of the server in the endpoint list. Drops the idle connections if the server is a new
  /// process or must get no new requests.
  /// @param started_at when the server's process started, s on the node's clock; a different value or
  ///   endpoint means a new process, to which existing connections do not lead
  /// @param usable whether the server may get new requests
  void update(const boost::asio::ip::tcp::endpoint& endpoint, double started_at, bool usable);
  /// Handles the removal of the server from the endpoint list: closes the idle connections at once and those
  /// in use when their attempts end; fails each waiting attempt.
  void retire();
  /// Drops the idle connections and the queue when the UpstreamClient is destroyed; reports nothing.
  void close();

  /// Begins the attempt on an idle connection, or queues it until one is available. Fails it if no connection
  /// may be opened.
  void start(const std::shared_ptr<UpstreamAttempt>& attempt);
  /// Removes an attempt from the queue, if it is there. The queue must not hold the only reference to the
  /// attempt.
  void leave_queue(const UpstreamAttempt& attempt);

  /// Handles the result of a connect, or its timeout.
  void on_connected(const std::shared_ptr<ServerConnection>& connection, bool succeeded);
  /// Takes back a connection after a complete response.
  void release(const std::shared_ptr<ServerConnection>& connection);
  /// Closes a connection that no attempt uses.
  void drop(const std::shared_ptr<ServerConnection>& connection);

  bool has_idle() const { return !idle_.empty(); }
  /// When the connection that has been idle the longest expires. Requires has_idle().
  Clock::Steady::time_point earliest_idle_expiry() const;
  /// Closes the connection that has been idle the longest. Requires has_idle().
  void drop_longest_idle();

  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  bool is_upstream_client_closed() const { return context_->is_closed; }

 private:
  enum class Origin { kNewlyConnected, kAfterResponse };

  void connect();
  void add_idle(const std::shared_ptr<ServerConnection>& connection, Origin origin);
  [[nodiscard]] std::shared_ptr<ServerConnection> take_idle();
  void drop_idle();
  void start_waiting_attempts();
  void start_waiting_after_quarantine();
  void connect_for_waiting_attempts();
  void fail_longest_waiting();
  void fail_attempt_without_connect();

  std::shared_ptr<UpstreamContext> context_;
  boost::asio::ip::tcp::endpoint endpoint_;
  double started_at_ = 0;          // s on the node's clock
  std::uint64_t incarnation_ = 1;  // counts the server's processes in the endpoint list
  bool usable_ = false;
  std::vector<std::shared_ptr<ServerConnection>> idle_;  // ordered by last use, the most recent at the end
  // For each of them there is a connect in flight or an idle connection in quarantine.
  std::deque<std::shared_ptr<UpstreamAttempt>> waiting_attempts_;
  std::size_t connects_in_flight_ = 0;
  std::size_t quarantine_waits_ = 0;  // timers of start_waiting_after_quarantine()
};

}  // namespace nettleyoke::node
