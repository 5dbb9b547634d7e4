// A server on loopback, as PROTOCOL has it: a ServerModel behind HTTP, with kept connections. Where there is
// a further tier it answers by a call through the node beside it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "checks/invariant_checker.h"
#include "load/http_client.h"
#include "load/random_stream.h"
#include "stand_ins/server_model.h"

namespace nettleyoke::lab {

class ServerStandIn {
 public:
  struct Limits {
    std::size_t connections = 256;    // beyond these, requests are turned away
    double server_idle_timeout = 30;  // s
  };
  // Calls that servers of one tier make to the next. `node`: the one beside this server.
  struct Next {
    Client* client = nullptr;
    std::size_t node = 0;
  };
  // Whether a cut lies between a node and this server: what is sent then is lost on the way.
  using Unreachable = std::function<bool(std::size_t node)>;

  ServerStandIn(boost::asio::io_context& io, const node::Clock& clock, Audit& audit, const std::string& name,
                const ServerModel::Shape& shape, const Limits& limits, const std::vector<ClassPlan>& classes,
                std::uint64_t seed);
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  bool is_up() const { return acceptor_.is_open(); }
  std::string address() const;  // changes with each start
  std::size_t number() const { return number_; }
  const std::string& name() const { return name_; }
  ServerModel& model() { return model_; }
  std::size_t connections_accepted() const { return accepted_; }

  void set_next(const Next& next) { next_ = next; }
  void set_unreachable(Unreachable unreachable) { unreachable_ = std::move(unreachable); }
  // A call that comes by no connection, from a hollow node: `done` is called once, and never from within,
  // unless the node gives it up before. The server is up.
  using DirectNumber = std::uint64_t;
  DirectNumber begin_direct(const std::string& id, std::size_t node, std::size_t request_class, double left,
                            std::function<void(AttemptEnd)> done);
  void give_up_direct(DirectNumber number);

  // Its process dies: connections are reset, dials refused.
  void crash();
  // A new process at a new address.
  void start();

 private:
  class ClientConnection;
  struct Direct {
    std::string id;
    Audit::AttemptNumber attempt = 0;
    ServerModel::Number job = 0;
    std::function<void(AttemptEnd)> done;
    std::shared_ptr<bool> is_open = std::make_shared<bool>(true);
  };
  void end_direct(DirectNumber number, AttemptEnd how);
  void listen();
  void accept();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Audit& audit_;
  std::string name_;
  std::size_t number_;
  ServerModel model_;
  Limits limits_;
  std::vector<ClassPlan> classes_;
  Draws draws_;
  Next next_;
  Unreachable unreachable_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<ClientConnection>> sessions_;
  std::map<DirectNumber, Direct> direct_;
  DirectNumber last_direct_ = 0;
  std::size_t accepted_ = 0;
};

}  // namespace nettleyoke::lab
