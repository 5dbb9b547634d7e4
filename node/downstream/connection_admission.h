/// @file
/// Accepts the clients' connections and keeps them within the node's descriptors. Owns the listener, the
/// connections, the queue of those that may be evicted, and one descriptor in reserve. Reads and answers
/// nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

#include "downstream/client_connection.h"
#include "downstream/connection_context.h"

namespace nettleyoke::node {

class ConnectionAdmission {
 public:
  struct Limits {
    std::size_t connections = 0;  ///< beyond it, idle ones are evicted and new ones rejected
    std::size_t overflow = 0;     ///< how many more may be open; beyond, nothing is accepted
  };

  /// @param context  has to outlive this; need not be complete before start().
  ConnectionAdmission(const Limits& limits, ConnectionContext& context);
  /// Detaches the connections that are left.
  ~ConnectionAdmission();
  ConnectionAdmission(const ConnectionAdmission&) = delete;
  ConnectionAdmission& operator=(const ConnectionAdmission&) = delete;

  /// @throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  /// @throws boost::system::system_error when the descriptor is no listener.
  void serve_on_inherited_listener(int listener);
  /// Accepts until it is stopped.
  void start() { accept(); }
  /// Accepts what is in the listener's queue, then closes it.
  void stop_accepting();
  /// Closes an inherited listener at once: others hold it open, and what waits in its queue is theirs.
  void leave_inherited_listener();
  /// Closes the connections that no request is expected on, and shortens the deadline of the others.
  void close_idle_connections();
  /// A connection has closed; it is dropped.
  void on_connection_closed(const ClientConnection& connection);

  ClientConnection::Evictions& eviction_queue() { return eviction_queue_; }
  bool is_listening() const { return acceptor_.is_open(); }
  bool has_connections() const { return !connections_.empty(); }
  bool is_listener_inherited() const { return is_listener_inherited_; }
  /// Whether fewer connections are free than a graceful shutdown keeps so. No new ones come any more, and
  /// clients that once find none free turn from the node for good, though it could serve them for seconds.
  /// Several may send a request before the first that is rejected has its connection back.
  bool is_short_of_free_connections() const;
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  bool has_descriptors() const { return connections_.size() < limits_.connections + limits_.overflow; }
  void accept();
  void on_accept_failed();
  void admit(boost::asio::ip::tcp::socket socket);
  void add_connection(boost::asio::ip::tcp::socket socket, ClientConnection::Admission admission);
  void reserve_descriptor();
  void release_reserved_descriptor();

  ConnectionContext& context_;
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;  // after a failed accept
  Limits limits_;
  ClientConnection::List connections_;
  ClientConnection::Evictions eviction_queue_;
  int reserved_descriptor_ = -1;  // -1: in use
  bool is_accept_pending_ = false;
  bool is_stopping_ = false;
  bool is_listener_inherited_ = false;  // a successor serves on it
};

}  // namespace nettleyoke::node
