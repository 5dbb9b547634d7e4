#include "load/http_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "clock.h"
#include "net/loopback.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::cancel_timer;
using node::Clock;
using Tcp = asio::ip::tcp;

std::string request_text(const HttpClient::Request& request) {
  const std::string target =
      request.target.empty() ? "/" + request.request_class + "/" + request.id : request.target;
  std::string text = (request.is_post ? "POST " : "GET ") + target + " HTTP/1.1\r\nHost: origin.svc\r\n";
  const auto add_field = [&text](const char* name, const std::string& value) {
    if (!value.empty()) text += std::string(name) + ": " + value + "\r\n";
  };
  add_field("X-Request-ID", request.id);
  add_field("X-Priority-Class", request.request_class);
  add_field("X-Tenant-Id", request.tenant);
  if (request.timeout > 0) add_field("X-Timeout-Ms", std::to_string(std::lround(request.timeout * 1000)));
  add_field("Idempotency-Key", request.idempotency_key);
  if (request.is_retry) add_field("X-Retried", "1");
  if (request.is_post) add_field("Content-Length", std::to_string(request.body.size()));
  return text + "\r\n" + request.body;
}

}  // namespace

/// One connection. It always has a read pending, so that it detects a close or an unsolicited response while
/// idle.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpClient& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {}

  bool is_idle() const { return is_connected_ && !on_response_; }

  void connect(const Tcp::endpoint& server, std::string bytes, double client_timeout,
               OnResponse on_response) {
    begin(std::move(bytes), client_timeout, std::move(on_response));
    socket_.async_connect(server, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->fail(Response::Kind::kConnectFailed);
      net::set_no_delay(self->socket_);
      self->is_connected_ = true;
      self->write();
      self->read();
    });
  }
  void reuse(std::string bytes, double client_timeout, OnResponse on_response) {
    is_reused_ = true;
    begin(std::move(bytes), client_timeout, std::move(on_response));
    write();
  }
  /// Closes the connection without a callback.
  void detach() {
    owner_ = nullptr;
    on_response_ = nullptr;
    cancel_timer(timer_);
    net::close(socket_);
  }

 private:
  void begin(std::string bytes, double client_timeout, OnResponse on_response) {
    bytes_ = std::move(bytes);
    on_response_ = std::move(on_response);
    deadline_ = Clock::Steady::now() + Clock::to_duration(client_timeout);
    timer_.expires_at(deadline_);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || Clock::Steady::now() < self->timer_.expiry() || self->owner_ == nullptr) return;
      self->fail(Response::Kind::kTimedOut);
    });
  }

  void write() {
    asio::async_write(socket_, asio::buffer(bytes_), [self = shared_from_this()](error_code, std::size_t) {
      // A node may respond before it has read the whole request, so a write error is ignored: the read
      // reports the outcome.
    });
  }

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ != nullptr) self->on_read(error);
    });
  }

  void on_read(error_code error) {
    if (!on_response_) {
      if (!error || parser_->got_some()) owner_->unsolicited_responses_ += 1;
      return close();
    }
    if (error) {
      // The node may have closed an idle connection just as the request was sent: send it once more.
      if (is_reused_ && !parser_->got_some()) return send_on_new_connection();
      return fail(Response::Kind::kConnectionClosed);
    }
    complete();
  }

  void complete() {
    Response response;
    response.kind = Response::Kind::kReceived;
    response.status = parser_->get().result_int();
    response.body = parser_->get().body();
    const bool keep_alive = parser_->get().keep_alive();
    const OnResponse on_response = std::exchange(on_response_, nullptr);
    cancel_timer(timer_);
    if (keep_alive) {
      read();
    } else {
      close();
    }
    on_response(response);
  }

  void send_on_new_connection() {
    HttpClient* owner = owner_;
    OnResponse on_response = std::exchange(on_response_, nullptr);
    const double time_left = std::chrono::duration<double>(deadline_ - Clock::Steady::now()).count();
    const std::string bytes = std::move(bytes_);
    close();
    owner->send(bytes, std::max(time_left, 0.0), std::move(on_response), Reuse::kForbidden);
  }

  void fail(Response::Kind kind) {
    const OnResponse on_response = std::exchange(on_response_, nullptr);
    close();
    if (on_response) on_response({kind, 0, {}});
  }

  void close() {
    HttpClient* owner = owner_;
    detach();
    if (owner != nullptr) owner->remove_connection(this);
  }

  HttpClient* owner_;  // null once detached
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string bytes_;
  OnResponse on_response_;  // of the call in flight; empty while idle
  Clock::Steady::time_point deadline_;
  bool is_connected_ = false, is_reused_ = false;
};

HttpClient::HttpClient(asio::io_context& io, const Tcp::endpoint& server) : io_(io), server_(server) {}

HttpClient::~HttpClient() {
  for (const std::shared_ptr<Connection>& connection : connections_) connection->detach();
}

void HttpClient::call(const Request& request, double client_timeout, OnResponse on_response) {
  send(request_text(request), client_timeout, std::move(on_response), Reuse::kAllowed);
}

void HttpClient::send(const std::string& bytes, double client_timeout, OnResponse on_response, Reuse reuse) {
  // Reuse the newest idle connection, so that surplus connections stay idle until they are closed.
  const auto idle = std::find_if(connections_.rbegin(), connections_.rend(),
                                 [](const auto& connection) { return connection->is_idle(); });
  if (idle != connections_.rend() && reuse == Reuse::kAllowed) {
    return (*idle)->reuse(bytes, client_timeout, std::move(on_response));
  }
  connections_.push_back(std::make_shared<Connection>(*this));
  connections_.back()->connect(server_, bytes, client_timeout, std::move(on_response));
}

void HttpClient::remove_connection(const Connection* connection) {
  std::erase_if(connections_, [connection](const auto& candidate) { return candidate.get() == connection; });
}

}  // namespace nettleyoke::lab
