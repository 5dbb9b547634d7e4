/// @file
/// One watch on the endpoint list: a connection to discovery, from the connect to the end of the response.
///
/// Owns the socket and the deadline of each step, and splits the response into objects. The observer parses
/// the objects and opens the next watch.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

#include "clock.h"
#include "discovery/object_splitter.h"

namespace nettleyoke::node {

class WatchConnection : public std::enable_shared_from_this<WatchConnection> {
 public:
  /// Receives the events of the watch until on_ended() or detach(). Not called within start().
  class Observer {
   public:
    Observer() = default;
    virtual ~Observer() = default;
    Observer(const Observer&) = delete;
    Observer& operator=(const Observer&) = delete;

    /// An object has been received.
    /// @return false to end the watch
    [[nodiscard]] virtual bool on_object(std::string_view object) = 0;
    /// Called once, after the first object or empty line.
    virtual void on_alive() = 0;
    /// The response is malformed, or an object was not completed in time; on_ended() follows.
    virtual void on_malformed() = 0;
    /// Called once, as the last event.
    virtual void on_ended() = 0;
  };

  /// @param responds_immediately true if discovery responds at once, such as a discovery agent to which lists
  /// are pushed; false if the watch may have to wait in discovery's queue: it gets more time for its first
  /// bytes
  WatchConnection(boost::asio::io_context& io, Observer& observer, bool responds_immediately);

  /// @param after_version the current list version; 0 requests the complete list
  void start(const boost::asio::ip::tcp::endpoint& address, std::uint64_t after_version);

  /// Ends the watch without notifying the observer.
  void detach();

 private:
  enum class State {
    kConnecting,
    kAwaitingHead,
    kAwaitingFirstItem,  // the head has arrived, but no object or empty line
    kAlive,
    kEnded,
  };
  using TimePoint = Clock::Steady::time_point;
  using Duration = Clock::Steady::duration;

  void send_request();
  void read();
  void on_read(boost::system::error_code error);
  void on_body();
  [[nodiscard]] bool on_item(ObjectSplitter::Item item, const std::string& object);
  void set_read_deadline(Duration timeout);
  void on_deadline();
  void end_malformed();
  void end();
  void close();

  Observer* observer_;  // null once the watch has ended
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_timer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
  ObjectSplitter splitter_;
  TimePoint startup_deadline_ = TimePoint::max();  // for the first item and a requested complete list
  TimePoint object_deadline_ = TimePoint::max();   // for the rest of an incomplete object
  State state_ = State::kConnecting;
  const bool responds_immediately_;  // from the settings in force when the watch began
  bool awaits_full_list_ = false;
};

}  // namespace nettleyoke::node
