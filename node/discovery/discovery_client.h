/// Keeps the endpoint list in step with discovery.
///
/// Owns the one watch that is open and the list version that it continues from. It never keeps the list
/// itself, and opens a watch again by itself only while it follows a move of discovery.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"
#include "discovery/endpoint_list.h"
#include "discovery/rewatch_backoff.h"  // the pause that callers of watch() keep
#include "discovery/watch_connection.h"

namespace nettleyoke::node {

class DiscoveryClient final : private WatchConnection::Observer {
 public:
  /// None is called from within watch().
  struct Listener {
    std::function<void(const EndpointList&)> on_list;  ///< each complete list and each change
    std::function<void()> on_alive;                    ///< a watch has brought anything, be it an empty line
    std::function<void()> on_failure;  ///< once, when a watch has ended; the next is up to you
  };

  /// @param seed of the jitter alone.
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  ZoneDirectory directory, const Clock& clock, std::uint64_t seed, Listener listener);
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Opens a watch on the changes after the list in hand, unless one is open or about to be.
  void watch();
  /// Discovery has moved: the watch goes on at the new address, with the complete list.
  void move_to(const boost::asio::ip::tcp::endpoint& address);
  void set_directory(ZoneDirectory directory) { directory_ = std::move(directory); }
  /// The version of the list in hand; 0 for none.
  void set_list_version(std::uint64_t version) { list_version_ = version; }
  /// Whether a call is answered at once, as by an agent that lists are pushed to; else it may have to wait.
  void set_responds_immediately(bool responds_immediately) { responds_immediately_ = responds_immediately; }

 private:
  [[nodiscard]] bool on_object(std::string_view object) override;
  void on_alive() override;
  void on_malformed() override;
  void on_ended() override;

  void open();
  void open_after_pause();
  void log_first_problem(const std::string& text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ZoneDirectory directory_;
  const Clock& clock_;
  Listener listener_;
  std::minstd_rand jitter_;
  std::uint64_t list_version_ = 0;
  std::shared_ptr<WatchConnection> watch_;
  Clock::Steady::time_point following_move_until_;  // until a list has come from the new address
  boost::asio::steady_timer move_retry_;
  bool is_pausing_ = false;  // between two watches after a move
  bool has_logged_problem_ = false;
  bool responds_immediately_ = false;
};

}  // namespace nettleyoke::node
