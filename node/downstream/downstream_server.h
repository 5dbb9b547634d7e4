// The callers' side: their connections, what they may ask, and the answers.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/metrics.h"
#include "dispatch/dispatcher.h"
#include "downstream/request_validation.h"
#include "http/memory_budget.h"

namespace nettleyoke::node {

class DownstreamServer {
 public:
  struct Limits {
    std::size_t most = 0;      // connections; beyond it, idle ones are closed and new ones turned away
    std::size_t overflow = 0;  // how many of these may be open besides; beyond, nothing is accepted
    double busy_retry_after = 0;
  };

  DownstreamServer(boost::asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics);
  ~DownstreamServer();
  DownstreamServer(const DownstreamServer&) = delete;
  DownstreamServer& operator=(const DownstreamServer&) = delete;

  // Throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& where);
  // Other settings; requests that were taken go on by the rules they came under.
  void replace_catalog(RequestCatalog catalog, double busy_retry_after);
  const RequestCatalog& catalog() const { return catalog_; }
  // Serves on a listening socket that others hold too: a drain leaves what waits there to them.
  void serve_on_inherited_listener(int listener);
  void start();
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

  // Goes on accepting for a while and serving for a while longer, sees to it that all that was taken is
  // answered before the node is killed, and calls `done` when no connection is left. With an adopted listener
  // it stops accepting at once, and each caller is let go with its next answer.
  void drain(std::function<void()> done);
  bool draining() const { return draining_; }

 private:
  class ClientConnection;
  friend class ClientConnection;

  bool is_handing_over() const { return draining_ && adopted_; }
  void accept();
  void accept_failed();
  void admit(boost::asio::ip::tcp::socket socket, bool by_spare = false);
  bool evict();
  void ended(ClientConnection& session);
  void stop_accepting();
  void close_idle();
  void end_if_drained();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;  // a pause after a failed accept; then for the drain
  Limits limits_;
  RequestCatalog catalog_;
  MemoryBudget& budget_;
  Dispatcher& dispatcher_;
  Metrics& metrics_;
  std::list<std::shared_ptr<ClientConnection>> sessions_;
  // Those that may be closed for others, the one that has waited the longest first: callers that never asked
  // for anything that can be served, and those between two requests.
  std::list<ClientConnection*> strangers_, idle_;
  int spare_ = -1;                                    // a descriptor in reserve
  std::array<char, std::size_t{16} * 1024> piece_{};  // of a body, while it is parsed
  bool accepting_ = false, draining_ = false, stopping_ = false, closing_ = false;
  bool adopted_ = false;                   // the listening socket: a successor serves on it
  Clock::Steady::time_point last_answer_;  // of a drain
  Clock::Steady::time_point late_until_;   // callers may ask by the settings before
  std::function<void()> drained_;
};

}  // namespace nettleyoke::node
