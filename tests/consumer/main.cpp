// The shortest use of the installed library: one server, one request, one answer.
#include <iostream>
#include <variant>
#include <vector>

#include "nettleyoke/balancer.h"

int main() {
  nettleyoke::Settings settings;
  nettleyoke::RequestClass lookup;
  lookup.latency_objective = 0.5;
  lookup.client_timeout = 2;
  lookup.idempotency = nettleyoke::Idempotency::kIdempotent;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  nettleyoke::Balancer balancer(settings, 42);
  std::vector<nettleyoke::Action> actions;
  nettleyoke::MembershipUpdate members;
  members.servers.push_back({.address = "10.0.0.1:80"});
  balancer.handle(0.0, members, actions);
  balancer.handle(0.1, nettleyoke::Request{.id = "r1", .time_left = 2}, actions);
  for (const nettleyoke::Action& action : actions) {
    if (const auto* send = std::get_if<nettleyoke::StartAttempt>(&action)) {
      std::cout << send->id << " -> " << send->server << ", time-out " << send->timeout << " s\n";
      return 0;
    }
  }
  std::cerr << "no send\n";
  return 1;
}
