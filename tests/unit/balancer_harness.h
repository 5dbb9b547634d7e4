/// @file
/// Shared by the tests of the decision library: default settings and servers, and a balancer with a clock
/// that returns the actions of each event.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "nettleyoke/balancer.h"

namespace nettleyoke {

/// A request class with a latency objective of 2 s, a client timeout of 6 s and a dedup window of 4 s.
inline RequestClass class_of(Idempotency idempotency, DedupScope scope = DedupScope::kCell) {
  RequestClass request_class;
  request_class.latency_objective = 2;
  request_class.client_timeout = 6;
  request_class.idempotency = idempotency;
  request_class.dedup_scope = scope;
  request_class.dedup_window = 4;
  return request_class;
}

inline Settings basic_settings(const RequestClass& request_class = class_of(Idempotency::kIdempotent)) {
  Settings settings;
  settings.classes = {request_class};
  settings.max_attempts = 4;
  settings.can_cancel = true;
  settings.max_retry_after = 2;
  return settings;
}

/// The server with the address "s<number>".
inline Server server(int number, int zone = 0, int cell = 0) {
  Server server;
  server.address = "s" + std::to_string(number);
  server.zone = zone;
  server.cell = cell;
  return server;
}

/// A full endpoint list with servers s0, s1 ...
inline MembershipUpdate members(int count) {
  MembershipUpdate update;
  for (int number = 0; number < count; ++number) update.servers.push_back(server(number));
  return update;
}

/// Whether an outcome must count as proof that the attempt never ran. Independent of the library's own table.
inline bool expected_to_prove_never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

/// A balancer and its clock.
struct ReplicaUnderTest {
  explicit ReplicaUnderTest(const Settings& settings, std::uint64_t seed = 1) : balancer(settings, seed) {}

  /// Sets the clock and handles an event.
  std::vector<Action> at(double time, const Event& event) {
    now = time;
    std::vector<Action> actions;
    balancer.handle(now, event, actions);
    return actions;
  }
  /// Handles a request whose client times out 6 s from now.
  std::vector<Action> request(const std::string& id, std::size_t tenant = 0, std::size_t request_class = 0) {
    Request request;
    request.id = id;
    request.tenant = tenant;
    request.request_class = request_class;
    request.time_left = 6;
    return at(now, request);
  }
  /// Handles the result of an attempt.
  /// @param elapsed s since the attempt was sent
  std::vector<Action> end_attempt(const std::string& id, Outcome outcome, int attempt = 0,
                                  double elapsed = 0.1) {
    return at(now, AttemptResult{id, attempt, outcome, elapsed, outcome == Outcome::kSucceeded});
  }

  Balancer balancer;
  double now = 0;  ///< s
};

/// The actions of one kind, in order.
template <typename Kind>
std::vector<Kind> actions_of(const std::vector<Action>& actions) {
  std::vector<Kind> matching;
  for (const Action& action : actions) {
    if (const Kind* match = std::get_if<Kind>(&action)) matching.push_back(*match);
  }
  return matching;
}

}  // namespace nettleyoke
