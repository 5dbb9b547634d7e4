#include "stand_ins/server_stand_in.h"

#include <utility>

#include "stand_ins/server_connection.h"

namespace nettleyoke::lab {
namespace {

AttemptOutcome attempt_outcome(ServerModel::Outcome outcome) {
  switch (outcome) {
    case ServerModel::Outcome::kServed:
      return AttemptOutcome::kServed;
    case ServerModel::Outcome::kFailed:
      return AttemptOutcome::kServerError;
    case ServerModel::Outcome::kRejected:
    case ServerModel::Outcome::kExpired:
      break;
  }
  return AttemptOutcome::kRejected;
}

}  // namespace

ServerStandIn::ServerStandIn(boost::asio::io_context& io, const node::Clock& clock, InvariantChecker& checker,
                             const std::string& name, const ServerModel::Parameters& parameters,
                             const Limits& limits, const std::vector<ClassSpec>& classes, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      checker_(checker),
      name_(name),
      number_(checker.add_server(name)),
      model_(io, clock, parameters),
      limits_(limits),
      classes_(classes),
      random_(seed, "server " + name),
      listener_(io) {
  listen();
}

ServerStandIn::~ServerStandIn() {
  for (const std::shared_ptr<Connection>& connection : connections_) connection->detach();
}

std::string ServerStandIn::address() const {
  return "127.0.0.1:" + std::to_string(listener_.endpoint().port());
}

void ServerStandIn::listen() {
  listener_.open([this](boost::asio::ip::tcp::socket socket) {
    ++connections_accepted_;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
  });
}

double ServerStandIn::draw_work(std::size_t request_class) {
  return random_.exponential(classes_[request_class].work);
}

ServerStandIn::DirectAttemptId ServerStandIn::start_direct(const std::string& id, std::size_t node,
                                                           std::size_t request_class, double time_left,
                                                           std::function<void(AttemptOutcome)> on_end) {
  const DirectAttemptId attempt_id = ++last_direct_attempt_;
  DirectAttempt& attempt = direct_attempts_[attempt_id];
  attempt.id = id;
  attempt.on_end = std::move(on_end);
  const double now = clock_.now();
  attempt.index =
      checker_
          .attempt_arrived(id, number_, now, [is_connected = attempt.is_connected] { return *is_connected; })
          .value_or(0);
  if (is_partitioned_ && is_partitioned_(node)) return attempt_id;
  attempt.job_id = model_.begin(
      draw_work(request_class), now + time_left,
      [this, attempt_id](ServerModel::Outcome outcome) { end_direct(attempt_id, attempt_outcome(outcome)); });
  return attempt_id;
}

void ServerStandIn::end_direct(DirectAttemptId attempt_id, AttemptOutcome outcome) {
  const auto found = direct_attempts_.find(attempt_id);
  if (found == direct_attempts_.end()) return;
  const DirectAttempt attempt = std::move(found->second);
  direct_attempts_.erase(found);
  *attempt.is_connected = false;
  checker_.attempt_ended(attempt.id, attempt.index, outcome, clock_.now());
  attempt.on_end(outcome);
}

void ServerStandIn::cancel_direct(DirectAttemptId attempt_id) {
  const auto found = direct_attempts_.find(attempt_id);
  if (found == direct_attempts_.end()) return;
  const DirectAttempt& attempt = found->second;
  *attempt.is_connected = false;
  checker_.attempt_ended(attempt.id, attempt.index, AttemptOutcome::kAbandoned, clock_.now());
  model_.cancel(attempt.job_id);
  direct_attempts_.erase(found);
}

void ServerStandIn::crash() {
  listener_.close();
  for (const std::shared_ptr<Connection>& connection : std::exchange(connections_, {})) connection->reset();
  model_.stop();
  while (!direct_attempts_.empty()) end_direct(direct_attempts_.begin()->first, AttemptOutcome::kReset);
}

void ServerStandIn::start() {
  if (listener_.is_open()) crash();
  listen();
  model_.start();
}

}  // namespace nettleyoke::lab
