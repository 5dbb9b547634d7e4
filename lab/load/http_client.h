/// @file
/// An HTTP client that calls one node. Each keep-alive connection carries one call at a time; a call opens a
/// new connection when all are busy.
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
    double timeout = 0;  ///< s, sent as X-Timeout-Ms; 0: the header is left out
    bool is_post = false, is_retry = false;
    std::string target;  ///< empty: "/<class>/<id>"
  };
  struct Response {
    enum class Kind {
      kReceived,
      kConnectFailed,     ///< the node could not be reached
      kConnectionClosed,  ///< the connection ended without a complete response
      kTimedOut           ///< the client timed out before a complete response
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

  /// Sends a request. `on_response` is called exactly once, never from within this call.
  /// @param client_timeout s until the client times out and closes the connection
  void call(const Request& request, double client_timeout, OnResponse on_response);
  /// The number of responses received without a request in flight.
  std::size_t unsolicited_responses() const { return unsolicited_responses_; }

 private:
  class Connection;
  enum class Reuse { kAllowed, kForbidden };
  void send(const std::string& bytes, double client_timeout, OnResponse on_response, Reuse reuse);
  void remove_connection(const Connection* connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::size_t unsolicited_responses_ = 0;
};

}  // namespace nettleyoke::lab
