#include "stand_ins/server_stand_in.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::Clock;
using node::halt;
using tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;

// Whether the peer of a connection still has it open. Its end shows here before the event loop brings it.
bool is_open(tcp::socket& socket) {
  if (!socket.is_open()) return false;
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::string field(const HttpRequest& request, const char* name) {
  const auto at = request.find(name);
  return at == request.end() ? std::string() : std::string(at->value());
}

std::string answer(unsigned status, const std::string& body, bool not_processed) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         (not_processed ? "\r\nX-Not-Processed: 1" : "") + "\r\n\r\n" + body;
}

}  // namespace

// One connection. It always reads, also while a request is at work: so that it sees at once when its node
// closes.
class ServerStandIn::ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ServerStandIn& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), idle_(owner.io_) {}

  void start() {
    rest();
    read();
  }
  // The process behind it is gone.
  void reset() {
    if (at_work_) owner_->audit_.attempt_ended(id_, attempt_, AttemptEnd::kCut, owner_->clock_.now());
    error_code ignored;
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    shut();
  }
  void orphan() { shut(); }

 private:
  void shut() {
    owner_ = nullptr;
    at_work_ = false;
    halt(idle_);
    error_code ignored;
    socket_.close(ignored);
  }

  void rest() {
    idle_.expires_after(Clock::span(owner_->limits_.server_idle_timeout));
    idle_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || self->owner_ == nullptr || Clock::Steady::now() < self->idle_.expiry()) return;
      if (!self->at_work_) self->leave();
    });
  }

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->closed();
      self->take(self->parser_->release());
      if (self->owner_ != nullptr) self->read();
    });
  }

  void closed() {
    if (at_work_) {
      owner_->audit_.attempt_ended(id_, attempt_, AttemptEnd::kGivenUp, owner_->clock_.now());
      owner_->model_.withdraw(job_);
    }
    leave();
  }

  void leave() {
    ServerStandIn* owner = owner_;
    shut();
    owner->sessions_.erase(shared_from_this());
  }

  void take(HttpRequest&& request) {
    halt(idle_);
    if (at_work_)
      return owner_->audit_.broken("server", "two requests at once on a connection to " + owner_->name_);
    id_ = field(request, "X-Request-ID");
    if (id_.empty()) return write(answer(404, "", false));
    const double now = owner_->clock_.now();
    const std::weak_ptr<ClientConnection> weak = weak_from_this();
    const bool known = owner_->audit_.attempt_arrived(
        id_, owner_->number_, now,
        [weak] {
          const auto self = weak.lock();
          return self && is_open(self->socket_);
        },
        attempt_);
    if (!known) return write(answer(400, "", false));
    at_work_ = true;
    ++turn_;
    const Audit::Call& call = owner_->audit_.calls().at(id_);
    if (owner_->unreachable_ && owner_->unreachable_(call.node)) return;  // as if its bytes were lost
    if (owner_->sessions_.size() > owner_->limits_.connections) return end(ServerModel::End::kTurnedAway);
    double left = call.time;
    const std::string told = field(request, "X-Timeout-Ms");
    int ms = 0;
    if (std::from_chars(told.data(), told.data() + told.size(), ms).ec == std::errc()) left = ms / 1000.0;
    until_ = now + left;
    class_ = call.request_class;
    job_ =
        owner_->model_.begin(owner_->draws_.exponential(owner_->classes_[class_].work), until_,
                             [weak, turn = turn_](ServerModel::End how) {
                               const auto self = weak.lock();
                               if (self && self->owner_ != nullptr && self->turn_ == turn && self->at_work_) {
                                 self->end(how);
                               }
                             });
  }

  void end(ServerModel::End how) {
    if (how == ServerModel::End::kServed && owner_->next_.client != nullptr) return call_next();
    finish(how);
  }

  // The answer needs one of the next tier, in the time that is left.
  void call_next() {
    const double now = owner_->clock_.now(), left = until_ - now;
    if (left <= 0) return finish(ServerModel::End::kFailed);
    const ClassPlan& plan = owner_->classes_[class_];
    Client::Message message;
    message.id = owner_->draws_.hex16();
    message.request_class = plan.name;
    message.time = left;
    message.is_post = plan.idempotency != Idempotency::kIdempotent;
    if (plan.idempotency == Idempotency::kIdempotencyKey) message.key = message.id;
    Audit* audit = &owner_->audit_;
    const Clock* clock = &owner_->clock_;
    audit->call_sent(message.id, owner_->next_.node, class_, left, now);
    const std::weak_ptr<ClientConnection> weak = weak_from_this();
    owner_->next_.client->call(
        message, audit->latest_answer(0, left),
        [weak, audit, clock, id = message.id, turn = turn_](const Client::Result& result) {
          const bool served = result.kind == Client::Result::Kind::kAnswered && result.status == 200;
          Ending ending = Ending::kFailed;
          if (served) ending = Ending::kServed;
          if (result.status == 429 || result.status == 503) ending = Ending::kRefused;
          if (result.kind == Client::Result::Kind::kClosed) ending = Ending::kClosed;
          if (result.kind == Client::Result::Kind::kGivenUp) ending = Ending::kLost;
          audit->call_ended(id, ending, clock->now());
          const auto self = weak.lock();
          if (!self || self->owner_ == nullptr || self->turn_ != turn || !self->at_work_) return;
          self->finish(served ? ServerModel::End::kServed : ServerModel::End::kFailed);
        });
  }

  void finish(ServerModel::End how) {
    at_work_ = false;
    const double now = owner_->clock_.now();
    const auto ended = [&](AttemptEnd as) { owner_->audit_.attempt_ended(id_, attempt_, as, now); };
    switch (how) {
      case ServerModel::End::kServed:
        ended(AttemptEnd::kServed);
        return write(answer(200, id_ + " " + owner_->name_, false));
      case ServerModel::End::kFailed:
        ended(AttemptEnd::kError);
        return write(answer(500, "", false));
      case ServerModel::End::kTurnedAway:
        ended(AttemptEnd::kTurnedAway);
        return write(answer(503, "", true));
      case ServerModel::End::kOver:
        ended(AttemptEnd::kTurnedAway);
        return write(answer(504, "", true));
    }
  }

  void write(std::string bytes) {
    out_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ != nullptr && !bad && !self->at_work_) self->rest();
    });
  }

  ServerStandIn* owner_;
  tcp::socket socket_;
  asio::steady_timer idle_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string id_, out_;
  Audit::AttemptNumber attempt_ = 0;
  ServerModel::Number job_ = 0;
  std::size_t class_ = 0;
  double until_ = 0;
  std::uint64_t turn_ = 0;
  bool at_work_ = false;
};

ServerStandIn::ServerStandIn(asio::io_context& io, const Clock& clock, Audit& audit, const std::string& name,
                             const ServerModel::Shape& shape, const Limits& limits,
                             const std::vector<ClassPlan>& classes, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      audit_(audit),
      name_(name),
      number_(audit.add_server(name)),
      model_(io, clock, shape),
      limits_(limits),
      classes_(classes),
      draws_(seed, "server " + name),
      acceptor_(io) {
  listen();
}

ServerStandIn::~ServerStandIn() {
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->orphan();
}

std::string ServerStandIn::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void ServerStandIn::listen() {
  acceptor_.open(tcp::v4());
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen();
  accept();
}

void ServerStandIn::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == asio::error::operation_aborted) return;
    if (!bad) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      ++accepted_;
      const auto session = std::make_shared<ClientConnection>(*this, std::move(socket));
      sessions_.insert(session);
      session->start();
    }
    accept();
  });
}

ServerStandIn::DirectNumber ServerStandIn::begin_direct(const std::string& id, std::size_t node,
                                                        std::size_t request_class, double left,
                                                        std::function<void(AttemptEnd)> done) {
  const DirectNumber number = ++last_direct_;
  Direct& direct = direct_[number];
  direct.id = id;
  direct.done = std::move(done);
  const double now = clock_.now();
  audit_.attempt_arrived(
      id, number_, now, [open = direct.is_open] { return *open; }, direct.attempt);
  if (unreachable_ && unreachable_(node)) return number;
  direct.job = model_.begin(
      draws_.exponential(classes_[request_class].work), now + left, [this, number](ServerModel::End how) {
        end_direct(number, how == ServerModel::End::kServed   ? AttemptEnd::kServed
                           : how == ServerModel::End::kFailed ? AttemptEnd::kError
                                                              : AttemptEnd::kTurnedAway);
      });
  return number;
}

void ServerStandIn::end_direct(DirectNumber number, AttemptEnd how) {
  const auto at = direct_.find(number);
  if (at == direct_.end()) return;
  const Direct direct = std::move(at->second);
  direct_.erase(at);
  *direct.is_open = false;
  audit_.attempt_ended(direct.id, direct.attempt, how, clock_.now());
  direct.done(how);
}

void ServerStandIn::give_up_direct(DirectNumber number) {
  const auto at = direct_.find(number);
  if (at == direct_.end()) return;
  *at->second.is_open = false;
  audit_.attempt_ended(at->second.id, at->second.attempt, AttemptEnd::kGivenUp, clock_.now());
  model_.withdraw(at->second.job);
  direct_.erase(at);
}

void ServerStandIn::crash() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const std::shared_ptr<ClientConnection>& session : std::exchange(sessions_, {})) session->reset();
  model_.stop();
  while (!direct_.empty()) end_direct(direct_.begin()->first, AttemptEnd::kCut);
}

void ServerStandIn::start() {
  if (acceptor_.is_open()) crash();
  listen();
  model_.start();
}

}  // namespace nettleyoke::lab
