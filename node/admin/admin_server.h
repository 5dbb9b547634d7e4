/// @file
/// The admin server: executes operators' commands, which arrive at a separate address.
///
/// Owns the listening socket and at most kMaxConnections connections. The handlers implement the commands.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_connection.h"

namespace nettleyoke::node {

class AdminServer {
 public:
  /// The maximum number of connections. The node reserves descriptors for them.
  static constexpr std::size_t kMaxConnections = 16;

  struct Handlers {
    std::function<bool()> is_ready;
    std::function<std::string()> stats;  ///< returns one line of JSON
    /// Enables or disables a server; returns the reason if that fails, otherwise an empty string.
    std::function<std::string(const std::string& id, bool enable)> set_server_enabled;
  };

  AdminServer(boost::asio::io_context& io, Handlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @throws boost::system::system_error if listening on the address fails
  void listen(const boost::asio::ip::tcp::endpoint& address);
  /// The address on which the server listens.
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  using Connections = std::list<std::shared_ptr<AdminConnection>>;

  void accept();
  void accept_after_pause();
  void add_connection(boost::asio::ip::tcp::socket socket);
  void evict_connection();
  std::string reply_to(std::string_view line) const;

  boost::asio::io_context& io_;
  Handlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  Connections connections_;  // oldest first
};

}  // namespace nettleyoke::node
