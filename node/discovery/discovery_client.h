/// @file
/// Receives endpoint list updates from discovery.
///
/// Owns the watch that is open, if any, and the list version at which the next watch continues. It does not
/// store the list, and reopens a watch on its own only for a short time after discovery has moved.
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
#include "discovery/rewatch_backoff.h"  // the backoff that callers of watch() apply
#include "discovery/watch_connection.h"

namespace nettleyoke::node {

class DiscoveryClient final : private WatchConnection::Observer {
 public:
  /// No callback runs within watch().
  struct Listener {
    std::function<void(const EndpointList&)> on_list;  ///< a complete list or changes
    std::function<void()> on_alive;    ///< once for each watch, with its first object or empty line
    std::function<void()> on_failure;  ///< once, when a watch has ended; the owner opens the next
  };

  /// @param seed for the jitter of the retries after a move
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  ZoneDirectory directory, const Clock& clock, std::uint64_t seed, Listener listener);
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Opens a watch that continues after the current list version, unless a watch is open or scheduled.
  void watch();
  /// Discovery has moved: opens a watch at the new address and requests the complete list.
  void move_to(const boost::asio::ip::tcp::endpoint& address);
  void set_directory(ZoneDirectory directory) { directory_ = std::move(directory); }
  /// @param version the current list version; 0 if there is no list
  void set_list_version(std::uint64_t version) { list_version_ = version; }
  /// @param responds_immediately true if discovery responds to a watch at once, such as a discovery agent to
  /// which lists are pushed; false if a watch may have to wait in discovery's queue
  void set_responds_immediately(bool responds_immediately) { responds_immediately_ = responds_immediately; }

 private:
  [[nodiscard]] bool on_object(std::string_view object) override;
  void on_alive() override;
  void on_malformed() override;
  void on_ended() override;

  void open();
  void schedule_move_retry();
  void log_first_error(const std::string& text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ZoneDirectory directory_;
  const Clock& clock_;
  Listener listener_;
  std::minstd_rand jitter_;
  std::uint64_t list_version_ = 0;
  std::shared_ptr<WatchConnection> watch_;
  Clock::Steady::time_point move_grace_ends_at_;  // reset by the first list from the new address
  boost::asio::steady_timer move_retry_timer_;
  bool is_move_retry_pending_ = false;  // move_retry_timer_ is running
  bool has_logged_error_ = false;
  bool responds_immediately_ = false;
};

}  // namespace nettleyoke::node
