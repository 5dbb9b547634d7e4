/// @file
/// Accepts client connections and keeps their number within the node's file descriptor limits. Owns the
/// listener, the connections, the queue of evictable connections, and one descriptor in reserve. Neither
/// reads requests nor writes responses.
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
    /// When this many are open, a new connection evicts another or, if none may be evicted, is rejected.
    std::size_t connections = 0;
    /// Further connections, which are accepted only to be sent a rejection. At the sum of both, accepting
    /// stops.
    std::size_t rejected_connections = 0;
  };

  /// @param context  must outlive this object; need not be fully constructed before start().
  ConnectionAdmission(const Limits& limits, ConnectionContext& context);
  /// Detaches the remaining connections.
  ~ConnectionAdmission();
  ConnectionAdmission(const ConnectionAdmission&) = delete;
  ConnectionAdmission& operator=(const ConnectionAdmission&) = delete;

  /// @throws boost::system::system_error if listening on the address fails.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  /// @param listener  descriptor of a listening IPv4 socket.
  /// @throws boost::system::system_error if the descriptor cannot be used as a listener.
  void serve_on_inherited_listener(int listener);
  /// Accepts connections until stop_accepting() or close_inherited_listener().
  void start() { accept(); }
  /// Accepts the connections in the listener's queue, then closes the listener.
  void stop_accepting();
  /// Closes an inherited listener at once: other processes hold it open and accept what is in its queue.
  void close_inherited_listener();
  /// Closes the connections on which no request is expected, and shortens the deadlines of the others.
  void close_idle_connections();
  /// Drops a connection that has closed, and resumes accepting if the limits had stopped it.
  void on_connection_closed(const ClientConnection& connection);

  ClientConnection::Evictions& eviction_queue() { return eviction_queue_; }
  bool is_listening() const { return acceptor_.is_open(); }
  bool has_connections() const { return !connections_.empty(); }
  bool is_listener_inherited() const { return is_listener_inherited_; }
  /// Whether fewer connections are free (without a request) than a graceful shutdown keeps free. A shutdown
  /// soon stops accepting connections, and a client that finds none free even once stops using the node for
  /// good, although the node could serve it for seconds. More than one is kept free, because several clients
  /// may send a request before the first rejected one can use its connection again.
  bool is_short_of_free_connections() const;
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  bool may_open_connection() const {
    return connections_.size() < limits_.connections + limits_.rejected_connections;
  }
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
  int reserved_descriptor_ = -1;  // -1: released
  bool is_accept_pending_ = false;
  bool is_stopping_ = false;
  bool is_listener_inherited_ = false;  // other processes listen on it too
};

}  // namespace nettleyoke::node
