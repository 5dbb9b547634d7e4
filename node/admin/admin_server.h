// The operators' line: one call a connection, answered by one line (or the figures), at an address of its
// own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace nettleyoke::node {

class AdminServer {
 public:
  static constexpr std::size_t kMostCallers = 16;  // their descriptors are kept for them

  struct Handlers {
    std::function<bool()> ready;
    std::function<std::string()> stats;                                  // one line of JSON
    std::function<std::string(const std::string& id, bool enable)> set;  // why not; empty: it is done
  };

  AdminServer(boost::asio::io_context& io, Handlers calls);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& where);
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;
  friend class Caller;

  void accept();
  std::string answer(std::string line) const;

  boost::asio::io_context& io_;
  Handlers calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;             // after an accept that failed
  std::list<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace nettleyoke::node
