/// Answers operators' calls at an address of its own.
///
/// Owns the listening socket and the connections, at most kMaxConnections at once. What a call means for the
/// node is its handlers'.
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
  /// Descriptors are reserved for so many connections.
  static constexpr std::size_t kMaxConnections = 16;

  struct Handlers {
    std::function<bool()> ready;
    std::function<std::string()> stats;  ///< one line of JSON
    /// Enables or disables a server; returns why it can't, and nothing where it is done.
    std::function<std::string(const std::string& id, bool enable)> set;
  };

  AdminServer(boost::asio::io_context& io, Handlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @throws boost::system::system_error where the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  /// The address that is listened on.
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

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
  Connections connections_;  // the oldest first
};

}  // namespace nettleyoke::node
