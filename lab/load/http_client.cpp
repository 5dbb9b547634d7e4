#include "load/http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "clock.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::Clock;
using node::halt;
using tcp = asio::ip::tcp;

std::string bytes_of(const Client::Message& message) {
  const std::string target =
      message.target.empty() ? "/" + message.request_class + "/" + message.id : message.target;
  std::string out = (message.is_post ? "POST " : "GET ") + target + " HTTP/1.1\r\nHost: origin.svc\r\n";
  const auto field = [&out](const char* name, const std::string& value) {
    if (!value.empty()) out += std::string(name) + ": " + value + "\r\n";
  };
  field("X-Request-ID", message.id);
  field("X-Priority-Class", message.request_class);
  field("X-Tenant-Id", message.tenant);
  if (message.time > 0) field("X-Timeout-Ms", std::to_string(std::lround(message.time * 1000)));
  field("Idempotency-Key", message.key);
  if (message.is_retry) field("X-Retried", "1");
  if (message.is_post) field("Content-Length", std::to_string(message.body.size()));
  return out + "\r\n" + message.body;
}

}  // namespace

// It always reads: while it rests, an end or an answer that nobody asked for shows at once.
class Client::Link : public std::enable_shared_from_this<Link> {
 public:
  explicit Link(Client& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {}

  bool is_idle() const { return up_ && !done_; }

  void dial(const tcp::endpoint& where, std::string bytes, double patience, Done done) {
    begin(std::move(bytes), patience, std::move(done));
    socket_.async_connect(where, [self = shared_from_this()](error_code bad) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->end(Result::Kind::kNotConnected);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->up_ = true;
      self->write();
      self->read();
    });
  }
  void reuse(std::string bytes, double patience, Done done) {
    reused_ = true;
    begin(std::move(bytes), patience, std::move(done));
    write();
  }
  void abandon() {
    owner_ = nullptr;
    done_ = nullptr;
    halt(timer_);
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void begin(std::string bytes, double patience, Done done) {
    bytes_ = std::move(bytes);
    done_ = std::move(done);
    until_ = Clock::Steady::now() + Clock::span(patience);
    timer_.expires_at(until_);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || Clock::Steady::now() < self->timer_.expiry() || self->owner_ == nullptr) return;
      self->end(Result::Kind::kGivenUp);
    });
  }

  void write() {
    asio::async_write(socket_, asio::buffer(bytes_), [self = shared_from_this()](error_code, std::size_t) {
      // A node may answer without reading on: whether the call ended well shows as it is read.
    });
  }

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ != nullptr) self->has_read(bad);
    });
  }

  void has_read(error_code bad) {
    if (!done_) {
      if (!bad || parser_->got_some()) owner_->stray_answers_ += 1;
      return close();
    }
    if (bad) {
      // A close that crosses a call which the node has not read: the client sends it once more.
      if (reused_ && !parser_->got_some()) return send_again();
      return end(Result::Kind::kClosed);
    }
    Result result;
    result.kind = Result::Kind::kAnswered;
    result.status = parser_->get().result_int();
    result.body = parser_->get().body();
    const bool keep = parser_->get().keep_alive();
    const Done done = std::exchange(done_, nullptr);
    halt(timer_);
    if (keep) {
      read();
    } else {
      close();
    }
    done(result);
  }

  void send_again() {
    Client* owner = owner_;
    Done done = std::exchange(done_, nullptr);
    const double left = std::chrono::duration<double>(until_ - Clock::Steady::now()).count();
    const std::string bytes = std::move(bytes_);
    close();
    owner->send(bytes, std::max(left, 0.0), std::move(done), true);
  }

  void end(Result::Kind kind) {
    const Done done = std::exchange(done_, nullptr);
    close();
    if (done) done({kind, 0, {}});
  }

  void close() {
    Client* owner = owner_;
    abandon();
    if (owner != nullptr) owner->forget(this);
  }

  Client* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string bytes_;
  Done done_;
  Clock::Steady::time_point until_;
  bool up_ = false, reused_ = false;
};

Client::Client(asio::io_context& io, const tcp::endpoint& where) : io_(io), where_(where) {}

Client::~Client() {
  for (const std::shared_ptr<Link>& link : links_) link->abandon();
}

void Client::call(const Message& message, double patience, Done done) {
  send(bytes_of(message), patience, std::move(done), false);
}

void Client::send(const std::string& bytes, double patience, Done done, bool on_a_new_one) {
  // The one used last: those that are not needed get to rest.
  const auto idle =
      std::find_if(links_.rbegin(), links_.rend(), [](const auto& link) { return link->is_idle(); });
  if (idle != links_.rend() && !on_a_new_one) return (*idle)->reuse(bytes, patience, std::move(done));
  links_.push_back(std::make_shared<Link>(*this));
  ++opened_;
  links_.back()->dial(where_, bytes, patience, std::move(done));
}

void Client::forget(const Link* link) {
  std::erase_if(links_, [link](const auto& known) { return known.get() == link; });
}

}  // namespace nettleyoke::lab
