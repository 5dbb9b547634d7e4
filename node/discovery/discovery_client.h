// The watch on the list of servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock.h"
#include "nettleyoke/balancer.h"
#include "settings_reader.h"

namespace nettleyoke::node {

// How discovery names what the module knows by number.
struct ZoneDirectory {
  std::vector<std::string> zones;
};

struct Endpoint {
  Server server;  // its address is the server's name: the same at every node, which real addresses are not
  boost::asio::ip::tcp::endpoint endpoint;
};

// A list, or what changed in it.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_full = false;
  std::vector<Endpoint> endpoints;
};

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// Throws std::exception, naming the field.
EndpointList read_endpoint_list(const json::Value& in, const ZoneDirectory& directory, const Clock& clock);

// s; how long to wait before a broken watch is made anew, after so many that brought nothing, for a draw from
// 0 to 1. Danger: what discovery has to tell counts as told whether it arrives or not, so that the first must
// not wait; and many nodes lose their watches together, so that they must not come back together.
double rewatch_backoff(int failures, double draw);

class DiscoveryClient {
 public:
  // `update` for each list and each change, `works` once a watch has brought anything, be it an empty line,
  // and `failed` once when it ends. None is called from within watch().
  struct Listener {
    std::function<void(const EndpointList&)> update;
    std::function<void()> works, failed;
  };

  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint where, ZoneDirectory directory,
                  const Clock& clock, std::uint64_t seed, Listener listener);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Asks for the changes after the list in hand, unless a watch is open or about to be.
  void watch();
  // Discovery has moved: the watch goes on at the new address, with the whole list.
  void move_to(const boost::asio::ip::tcp::endpoint& where);
  void set_directory(ZoneDirectory directory) { directory_ = std::move(directory); }
  void set_list_version(std::uint64_t index) { index_ = index; }
  // Whether a call is answered at once, as by an agent that lists are pushed to; else it may have to wait.
  void set_responds_immediately(bool at_once) { answers_at_once_ = at_once; }

 private:
  class Watch;
  void take_object(const std::shared_ptr<Watch>& from, std::string_view object);
  void end(const std::shared_ptr<Watch>& from);
  void open();
  void complain(const std::string& text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint where_;
  ZoneDirectory directory_;
  const Clock& clock_;
  Listener listener_;
  std::minstd_rand jitter_;
  std::uint64_t index_ = 0;
  std::shared_ptr<Watch> watch_;
  Clock::Steady::time_point moved_until_;  // till then calls at a new address wait for nobody's word
  boost::asio::steady_timer again_;        // the pause between two of those
  bool is_pausing_ = false, complained_ = false, answers_at_once_ = false;
};

}  // namespace nettleyoke::node
