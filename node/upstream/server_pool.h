/// @file
/// The connections to one server and the attempts that wait for one. It owns the idle connections and the
/// queue; it never looks at a request or a response.
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

  /// @param started s on the node's clock; another value is another process of the server, whose connections
  ///   are not the last one's
  /// @param usable whether the server may get new work
  void update(const boost::asio::ip::tcp::endpoint& endpoint, double started, bool usable);
  /// The server has left the endpoint list: no connection is kept, and each waiting attempt fails.
  void retire();
  /// The client is destroyed.
  void close();

  /// Begins the attempt on an idle connection, or queues it for one; fails it if none can be had.
  void start(const std::shared_ptr<UpstreamAttempt>& attempt);
  /// Takes an attempt out of the queue; one that does not wait is no error. The attempt must be held by the
  /// caller, not by the queue alone.
  void leave_queue(const UpstreamAttempt& attempt);

  /// The result of a connect, or its timeout.
  void on_connected(const std::shared_ptr<ServerConnection>& connection, bool succeeded);
  /// A connection is free after a complete response.
  void release(const std::shared_ptr<ServerConnection>& connection);
  /// Closes a connection that carries nothing any more.
  void drop(const std::shared_ptr<ServerConnection>& connection);

  bool has_idle() const { return !idle_.empty(); }
  /// When the connection that has been idle the longest is to be closed; one has to be idle.
  Clock::Steady::time_point first_idle_expiry() const;
  void drop_longest_idle();

  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  bool is_client_closed() const { return context_->is_closed; }

 private:
  enum class Origin { kNewlyConnected, kAfterResponse };

  void connect();
  void add_idle(const std::shared_ptr<ServerConnection>& connection, Origin origin);
  [[nodiscard]] std::shared_ptr<ServerConnection> take_idle();
  void drop_idle();
  void serve_waiting();
  void serve_after_quarantine();
  void connect_for_waiting();
  void fail_first();
  void fail_unserved();

  std::shared_ptr<UpstreamContext> context_;
  boost::asio::ip::tcp::endpoint endpoint_;
  double started_ = 0;
  std::uint64_t incarnation_ = 1;  // counts the processes of the server that were advertised
  bool usable_ = false;
  std::vector<std::shared_ptr<ServerConnection>> idle_;  // the most recently used last
  // Each has a connect in flight, or an idle connection whose quarantine is about to end.
  std::deque<std::shared_ptr<UpstreamAttempt>> waiting_;
  std::size_t connects_in_flight_ = 0;
  std::size_t quarantine_waits_ = 0;
};

}  // namespace nettleyoke::node
