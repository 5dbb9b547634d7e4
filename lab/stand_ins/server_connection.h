/// @file
/// One connection to a server stand-in. Private to the stand-in: it uses its owner's model and checker.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "stand_ins/server_stand_in.h"

namespace nettleyoke::lab {

/// Always has a read pending, also while a request is processed, so that it detects at once that the node
/// closed the connection.
class ServerStandIn::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ServerStandIn& owner, boost::asio::ip::tcp::socket socket);

  void start();
  /// Resets the connection because the server's process crashed.
  void reset();
  /// Closes the connection without notifying the owner.
  void detach();

 private:
  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

  void wait_while_idle();
  void read();
  void on_closed();
  void close();
  void on_request(const HttpRequest& request);
  void process();
  void on_processed(ServerModel::Outcome outcome);
  void call_next_tier();
  void respond(ServerModel::Outcome outcome);
  void write(std::string bytes);
  // Whether the request with this number is still being processed.
  bool is_processing(std::uint64_t request_number) const;

  ServerStandIn* owner_;  // null once detached
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer idle_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string request_id_, response_;
  InvariantChecker::AttemptIndex attempt_ = 0;
  ServerModel::JobId job_id_ = 0;
  std::size_t request_class_ = 0;
  double deadline_ = 0;  // s on the lab's clock
  std::uint64_t request_number_ = 0;
  bool is_processing_ = false;
};

}  // namespace nettleyoke::lab
