/// @file
/// Calls to one node as its clients make them: one call at a time on a connection, connections kept alive,
/// more opened when all are busy.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nettleyoke::lab {

class HttpClient {
 public:
  struct Request {
    std::string id, request_class, tenant, idempotency_key, body;
    double timeout = 0;  ///< s, as the request states it; 0: it states none
    bool is_post = false, is_retry = false;
    std::string target;  ///< empty: made of the class and the id
  };
  struct Response {
    enum class Kind {
      kAnswered,
      kConnectFailed,     ///< the node could not be reached
      kConnectionClosed,  ///< the connection ended without a complete response
      kTimedOut           ///< no response as long as the client waited
    };
    Kind kind = Kind::kTimedOut;
    unsigned status = 0;
    std::string body;
  };
  using OnResponse = std::function<void(const Response&)>;

  HttpClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and calls `on_response` exactly once, never from within.
  /// @param patience s that the client waits; then it closes the connection
  void call(const Request& request, double patience, OnResponse on_response);
  /// How many responses came that answer no request.
  std::size_t unsolicited_responses() const { return unsolicited_responses_; }

 private:
  class Connection;
  enum class Reuse { kAllowed, kForbidden };
  void send(const std::string& bytes, double patience, OnResponse on_response, Reuse reuse);
  void forget(const Connection* connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::size_t unsolicited_responses_ = 0;
};

}  // namespace nettleyoke::lab
