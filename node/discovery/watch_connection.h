/// One watch on the endpoint list: a connection to discovery, from the connect to the end of its response.
///
/// Owns the socket, the deadlines on each step and the cutting of the response into objects. It never opens
/// another watch and doesn't read the objects; both are its observer's.
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
  /// Hears of the watch, until on_ended or detach(), never from within start().
  class Observer {
   public:
    Observer() = default;
    virtual ~Observer() = default;
    Observer(const Observer&) = delete;
    Observer& operator=(const Observer&) = delete;

    /// An object has come; false ends the watch.
    [[nodiscard]] virtual bool on_object(std::string_view object) = 0;
    /// Once, after the first object or empty line.
    virtual void on_alive() = 0;
    /// The response can't be followed, or an object wasn't finished in time; on_ended follows.
    virtual void on_malformed() = 0;
    /// Once, last.
    virtual void on_ended() = 0;
  };

  /// @param responds_immediately whether a call is answered at once, as by an agent that lists are pushed to.
  /// Otherwise it may have to wait for its turn, and gets more time for its first bytes.
  WatchConnection(boost::asio::io_context& io, Observer& observer, bool responds_immediately);

  /// @param after_version the version of the list in hand; 0 asks for the complete list.
  void start(const boost::asio::ip::tcp::endpoint& address, std::uint64_t after_version);

  /// Ends the watch without a word to the observer.
  void detach();

 private:
  enum class State {
    kConnecting,
    kAwaitingHead,
    kAwaitingFirstItem,  // the head has come, and neither an object nor an empty line
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
  void expect_bytes_within(Duration patience);
  void on_deadline();
  void end_malformed();
  void end();
  void close();

  Observer* observer_;  // none once the watch has ended
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
  ObjectSplitter splitter_;
  TimePoint call_limit_ = TimePoint::max();    // for what the call owes before it may idle
  TimePoint object_limit_ = TimePoint::max();  // for the object that has begun
  State state_ = State::kConnecting;
  const bool responds_immediately_;  // as the settings had it when the watch began
  bool owes_list_ = false;
};

}  // namespace nettleyoke::node
