// The connections to servers, and the attempts on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admin/metrics.h"
#include "clock.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

class UpstreamClient {
 public:
  struct Limits {
    double connect_timeout = 0;
    double server_idle_timeout = 0;   // a server may close a connection that has stood idle this long
    std::size_t max_connections = 0;  // over all servers
  };
  // What is told of an attempt. `begun`, perhaps: a large answer has begun, and its body comes as the pipe
  // gives it. `ended`, exactly once: how it ended, with the answer for kSucceeded alone and only where it had
  // not begun before. Both tell how long it took from when the request was sent, in s: up to its first bytes
  // where the answer had begun, else up to now. A request whose body was still coming is sent with its last
  // byte.
  struct AttemptCallbacks {
    std::function<void(HttpResponse&& head, std::shared_ptr<BodyPipe> body, double elapsed)> begun;
    std::function<void(Outcome, HttpResponse&&, double elapsed)> ended;
  };

  // All in s, from now on. `timeout`: how long to wait for the answer. `deadline`: what its server is told
  // that it has, never less. `send_within`: where its last byte is not out by then, it is not sent.
  struct AttemptTimes {
    double timeout = 0, deadline = 0;
    std::optional<double> send_within = {};
  };

  class Attempt;
  using AttemptHandle = std::weak_ptr<Attempt>;

  UpstreamClient(boost::asio::io_context& io, const Limits& limits, MemoryBudget& budget, Metrics& metrics);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  // How long to wait for a connection, and how long one may idle, from here on.
  void set_timeouts(double connect_timeout, double server_idle_timeout) {
    limits_.connect_timeout = connect_timeout;
    limits_.server_idle_timeout = server_idle_timeout;
  }
  // Where a server listens, and whether it may get new work. `started` tells one of its processes from the
  // next, whose connections are not the last one's.
  void update_server(const std::string& server, const boost::asio::ip::tcp::endpoint& where, double started,
                     bool usable);
  // It has left the list: attempts that are out go on, nothing new is to come.
  void remove_server(const std::string& server);

  // Sends a request, once, and reports exactly once, never from within this call.
  AttemptHandle start_attempt(const std::string& server,
                              const std::shared_ptr<const OutgoingRequest>& request,
                              const AttemptTimes& times, AttemptCallbacks report);
  // Closes the attempt's connection; it is reported as kCancelled, unless its end is on its way already.
  void cancel(const AttemptHandle& attempt);
  // The same, but only where its last byte is not written yet: nobody waits for what it would bring about.
  void withdraw_unsent(const AttemptHandle& attempt);

  std::size_t connections() const { return connections_; }

 private:
  class Connection;
  struct Pool;

  void dial(const std::shared_ptr<Pool>& pool);
  void dialled(const std::shared_ptr<Pool>& pool, const std::shared_ptr<Connection>& connection, bool up);
  std::shared_ptr<Connection> take_idle(Pool& pool);
  void release(const std::shared_ptr<Connection>& connection, bool fresh);
  void serve_waiting(Pool& pool);
  void serve_rested(const std::shared_ptr<Pool>& pool);
  void drop(const std::shared_ptr<Connection>& connection);
  void forget(Pool& pool, const Connection& connection);
  void drop_idle(Pool& pool);
  bool make_room();
  void end_later(std::shared_ptr<Attempt> attempt, Outcome outcome);
  // Danger: it takes the attempt out of the queue, which `attempt` must not be a place in.
  void finish(const std::shared_ptr<Attempt>& attempt, Outcome outcome, bool keep);
  void fail_first(Pool& pool);
  static void leave_queue(const Attempt& attempt);

  boost::asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  Metrics& metrics_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::size_t connections_ = 0;  // dialling ones too
  // Outlived by no handler that looks at it: what is left in the event loop at the end sees that we are gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettleyoke::node
