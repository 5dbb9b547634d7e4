// Calls to one node as its clients make them: one call at a time on a connection, connections kept, more
// opened when all are busy.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nettleyoke::lab {

class Client {
 public:
  struct Message {
    std::string id, request_class, tenant, key, body;
    double time = 0;  // s that the client waits for the answer
    bool is_post = false, is_retry = false;
    std::string target;  // empty: from the class
  };
  struct Result {
    enum class Kind {
      kAnswered,
      kNotConnected,  // the node could not be reached
      kClosed,        // the connection ended with no whole answer
      kGivenUp        // no answer as long as the client stayed
    };
    Kind kind = Kind::kGivenUp;
    unsigned status = 0;
    std::string body;
  };
  using Done = std::function<void(const Result&)>;

  Client(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& where);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends once, and calls `done` exactly once, never from within. The client stays for `patience` s, then it
  // closes the connection.
  void call(const Message& message, double patience, Done done);
  // Answers that nobody had asked for.
  std::size_t stray_answers() const { return stray_answers_; }
  std::size_t connections_opened() const { return opened_; }

 private:
  class Link;
  void send(const std::string& bytes, double patience, Done done, bool on_a_new_one);
  void forget(const Link* link);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint where_;
  std::vector<std::shared_ptr<Link>> links_;
  std::size_t stray_answers_ = 0, opened_ = 0;
};

}  // namespace nettleyoke::lab
