// A hollow node: the node's own settings reader, watch on discovery, module, operators' line and counts, with
// no listener for callers and no connections to servers. Many of them run on one event loop. Its calls go
// through its module straight to the servers' models. docs/lab.md lists what it leaves out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "clock.h"
#include "config.h"
#include "discovery/discovery_client.h"
#include "nettleyoke/balancer.h"
#include "nodes/node_under_test.h"
#include "stand_ins/server_stand_in.h"
#include "takeover/disabled_servers.h"

namespace nettleyoke::lab {

class HollowNode : public PlayedNode {
 public:
  struct Place {
    std::string folder, name, zone;  // its configuration is kept in the folder
    std::size_t number = 0;          // in the audit
  };
  // The server of a name, or nothing.
  using Servers = std::function<ServerStandIn*(const std::string& name)>;

  // `in_force`, if given, hears of each version once the module has it.
  HollowNode(boost::asio::io_context& io, const node::Clock& clock, Place place, Servers servers,
             std::function<void(std::uint64_t index)> in_force = nullptr);
  ~HollowNode() override;

  const char* kind() const override { return "hollow"; }
  std::size_t number() const override { return place_.number; }
  const std::string& zone() const override { return place_.zone; }
  void start(const std::string& config, std::function<void()> ready) override;
  void call(const Call& call, std::function<void(Ending)> ended) override;
  void end() override;
  bool has_ended() override { return ended_; }
  int status() const override { return 0; }
  Usage usage() const override { return {}; }
  std::optional<boost::asio::ip::tcp::endpoint> operators() const override;
  std::string log() const override { return {}; }
  std::size_t stray_answers() const override { return 0; }
  std::optional<std::uint64_t> list_index() const override { return index_; }

 private:
  struct Attempt {
    ServerStandIn* server = nullptr;
    ServerStandIn::DirectNumber number = 0;
    double since = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool open = true;
  };
  struct Held {
    std::string request_class;
    std::function<void(Ending)> ended;  // empty once the final answer is out, or nobody waits for it
    double until = 0, time_left = 0;    // when attempts end, a margin before the client gives up
    std::size_t class_number = 0;
    std::unique_ptr<boost::asio::steady_timer> guard, leave;
    std::vector<Attempt> attempts;
    bool is_over() const { return !ended; }
  };

  bool is_usable(const Server& server) const;
  void members(const node::EndpointList& update);
  void watch_failed();
  void take_out(const std::set<std::string>& servers);
  void happen(Event event);
  void handle(const Event& event);
  void attempt_ended(const std::string& id, std::size_t attempt, Outcome outcome);
  void end_later(const std::string& id, std::size_t attempt, Outcome outcome);
  void answer(Held& held, Ending ending);
  void gone(const std::string& id, Ending ending);
  void settle(const std::string& id);
  void later(double seconds, std::function<void()> what);

  void perform(const StartAttempt& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const CancelAttempt& action);
  void perform(const SetTimer& action);
  void perform(const WatchMembership& action);
  void perform(const LogLine& action);

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Place place_;
  Servers servers_;
  std::function<void(std::uint64_t)> in_force_;
  std::function<void()> ready_call_;
  node::Config config_;
  std::unique_ptr<Balancer> balancer_;
  std::unique_ptr<node::DiscoveryClient> discovery_;
  node::Metrics metrics_;
  std::unique_ptr<node::DisabledServers> bans_;
  std::unique_ptr<node::AdminServer> ops_;
  std::minstd_rand jitter_;
  std::unordered_map<std::string, Held> held_;
  std::map<std::string, Server> listed_;
  std::set<std::string> out_;  // by hand
  std::deque<Event> events_;
  std::uint64_t index_ = 0;
  int failures_ = 0;  // of watches, since one brought anything
  bool handling_ = false, has_list_ = false, ended_ = false;
  // Outlived by timers that look at it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettleyoke::lab
