#include "stand_ins/server_connection.h"

#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "net/http_text.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::cancel_timer;
using node::Clock;

constexpr const char* kReason = "X";  // the reason phrase of responses; nodes ignore it
constexpr const char* kNotProcessed = "X-Not-Processed: 1\r\n";

CallOutcome call_outcome(const HttpClient::Response& response) {
  switch (response.kind) {
    case HttpClient::Response::Kind::kConnectionClosed:
      return CallOutcome::kConnectionClosed;
    case HttpClient::Response::Kind::kTimedOut:
      return CallOutcome::kUnanswered;
    case HttpClient::Response::Kind::kConnectFailed:
    case HttpClient::Response::Kind::kReceived:
      break;
  }
  if (response.status == 200) return CallOutcome::kServed;
  if (response.status == 429 || response.status == 503) return CallOutcome::kRejected;
  return CallOutcome::kFailed;
}

// The timeout in the request's X-Timeout-Ms header, in s; `default_timeout` if there is no valid one.
double stated_timeout(const http::fields& fields, double default_timeout) {
  const std::string text = net::header_value(fields, "X-Timeout-Ms");
  int milliseconds = 0;
  const bool is_stated =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds).ec == std::errc();
  return is_stated ? milliseconds / 1000.0 : default_timeout;
}

}  // namespace

ServerStandIn::Connection::Connection(ServerStandIn& owner, asio::ip::tcp::socket socket)
    : owner_(&owner), socket_(std::move(socket)), idle_timer_(owner.io_) {}

void ServerStandIn::Connection::start() {
  wait_while_idle();
  read();
}

void ServerStandIn::Connection::reset() {
  if (is_processing_) {
    owner_->checker_.attempt_ended(request_id_, attempt_, AttemptOutcome::kReset, owner_->clock_.now());
  }
  net::reset(socket_);
  detach();
}

void ServerStandIn::Connection::detach() {
  owner_ = nullptr;
  is_processing_ = false;
  cancel_timer(idle_timer_);
  net::close(socket_);
}

void ServerStandIn::Connection::wait_while_idle() {
  idle_timer_.expires_after(Clock::to_duration(owner_->limits_.idle_timeout));
  idle_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled || self->owner_ == nullptr || Clock::Steady::now() < self->idle_timer_.expiry()) return;
    if (!self->is_processing_) self->close();
  });
}

void ServerStandIn::Connection::read() {
  parser_.emplace();
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->owner_ == nullptr) return;
    if (error) return self->on_closed();
    self->on_request(self->parser_->release());
    if (self->owner_ != nullptr) self->read();
  });
}

void ServerStandIn::Connection::on_closed() {
  if (is_processing_) {
    owner_->checker_.attempt_ended(request_id_, attempt_, AttemptOutcome::kAbandoned, owner_->clock_.now());
    owner_->model_.cancel(job_id_);
  }
  close();
}

void ServerStandIn::Connection::close() {
  ServerStandIn* owner = owner_;
  detach();
  owner->connections_.erase(shared_from_this());
}

void ServerStandIn::Connection::on_request(const HttpRequest& request) {
  cancel_timer(idle_timer_);
  InvariantChecker& checker = owner_->checker_;
  if (is_processing_) {
    return checker.add_violation(
        Rule::kOneRequestPerConnection,
        "a connection must carry one request at a time, but a second one arrived at server " + owner_->name_);
  }
  request_id_ = net::header_value(request, "X-Request-ID");
  if (request_id_.empty()) return write(net::response_text(404, kReason, ""));
  const auto is_connected = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return self && net::is_peer_connected(self->socket_);
  };
  const double now = owner_->clock_.now();
  const auto attempt = checker.attempt_arrived(request_id_, owner_->number_, now, is_connected);
  if (!attempt) return write(net::response_text(400, kReason, ""));
  attempt_ = *attempt;
  is_processing_ = true;
  ++request_number_;
  const InvariantChecker::Call& call = checker.calls().at(request_id_);
  // A partition loses the request: no response.
  if (owner_->is_partitioned_ && owner_->is_partitioned_(call.node)) return;
  if (owner_->connections_.size() > owner_->limits_.connections) {
    return on_processed(ServerModel::Outcome::kRejected);
  }
  request_class_ = call.request_class;
  deadline_ = now + stated_timeout(request, call.timeout);
  process();
}

void ServerStandIn::Connection::process() {
  job_id_ =
      owner_->model_.begin(owner_->draw_work(request_class_), deadline_,
                           [weak = weak_from_this(), number = request_number_](ServerModel::Outcome outcome) {
                             const auto self = weak.lock();
                             if (self && self->is_processing(number)) self->on_processed(outcome);
                           });
}

bool ServerStandIn::Connection::is_processing(std::uint64_t request_number) const {
  return owner_ != nullptr && is_processing_ && request_number_ == request_number;
}

void ServerStandIn::Connection::on_processed(ServerModel::Outcome outcome) {
  if (outcome == ServerModel::Outcome::kServed && owner_->next_tier_.client != nullptr) {
    return call_next_tier();
  }
  respond(outcome);
}

// Calls the next tier with the time left; its response determines the response of this server.
void ServerStandIn::Connection::call_next_tier() {
  const Clock& clock = owner_->clock_;
  InvariantChecker& checker = owner_->checker_;
  const double now = clock.now();
  const double time_left = deadline_ - now;
  if (time_left <= 0) return respond(ServerModel::Outcome::kFailed);
  const ClassSpec& spec = owner_->classes_[request_class_];
  HttpClient::Request request;
  request.id = owner_->random_.hex_id();
  request.request_class = spec.name;
  request.timeout = time_left;
  request.is_post = spec.idempotency != Idempotency::kIdempotent;
  if (spec.idempotency == Idempotency::kIdempotencyKey) request.idempotency_key = request.id;
  checker.call_sent(request.id, owner_->next_tier_.node, request_class_, time_left, now);
  owner_->next_tier_.client->call(request, checker.response_deadline(0, time_left),
                                  [weak = weak_from_this(), &checker, &clock, id = request.id,
                                   number = request_number_](const HttpClient::Response& response) {
                                    const CallOutcome outcome = call_outcome(response);
                                    checker.call_ended(id, outcome, clock.now());
                                    const auto self = weak.lock();
                                    if (!self || !self->is_processing(number)) return;
                                    self->respond(outcome == CallOutcome::kServed
                                                      ? ServerModel::Outcome::kServed
                                                      : ServerModel::Outcome::kFailed);
                                  });
}

void ServerStandIn::Connection::respond(ServerModel::Outcome outcome) {
  is_processing_ = false;
  const auto record = [this](AttemptOutcome attempt_outcome) {
    owner_->checker_.attempt_ended(request_id_, attempt_, attempt_outcome, owner_->clock_.now());
  };
  switch (outcome) {
    case ServerModel::Outcome::kServed:
      record(AttemptOutcome::kServed);
      return write(net::response_text(200, kReason, request_id_ + " " + owner_->name_));
    case ServerModel::Outcome::kFailed:
      record(AttemptOutcome::kServerError);
      return write(net::response_text(500, kReason, ""));
    case ServerModel::Outcome::kRejected:
      record(AttemptOutcome::kRejected);
      return write(net::response_text(503, kReason, "", kNotProcessed));
    case ServerModel::Outcome::kExpired:
      record(AttemptOutcome::kRejected);
      return write(net::response_text(504, kReason, "", kNotProcessed));
  }
}

void ServerStandIn::Connection::write(std::string bytes) {
  response_ = std::move(bytes);
  asio::async_write(socket_, asio::buffer(response_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->owner_ != nullptr && !error && !self->is_processing_) self->wait_while_idle();
                    });
}

}  // namespace nettleyoke::lab
