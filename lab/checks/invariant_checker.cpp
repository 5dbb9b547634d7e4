#include "checks/invariant_checker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nettleyoke::lab {
namespace {

constexpr double kSocketSlack = 0.05;  // s; on sockets each time limit of the rules grows by this
constexpr double kLeave = 0.1;         // s; no attempt begins later than this after its client has gone
constexpr std::size_t kMostSentAfterLeft = 2, kClosedOneIn = 200;  // what is forgiven in a whole play
constexpr std::size_t kMostTexts = 20;

std::string milliseconds(double seconds) { return std::to_string(std::lround(seconds * 1000)) + " ms"; }

}  // namespace

std::size_t Audit::add_node(const std::string& name) {
  nodes_.push_back(name);
  barred_.emplace_back();
  return nodes_.size() - 1;
}

std::size_t Audit::add_server(const std::string& name) {
  servers_.push_back(name);
  return servers_.size() - 1;
}

void Audit::broken(const std::string& rule, const std::string& what) {
  breaks_[rule] += 1;
  if (first_breaks_.size() < kMostTexts) first_breaks_.push_back(rule + ": " + what);
}

void Audit::call_sent(const std::string& id, std::size_t node, std::size_t request_class, double time,
                      double now) {
  Call& call = calls_[id];
  call.node = node;
  call.request_class = request_class;
  call.sent = now;
  call.time = time;
  ++open_;
}

void Audit::call_ended(const std::string& id, Ending ending, double now) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  Call& call = at->second;
  if (call.ending != Ending::kOpen) return broken("answer", id + " was answered twice");
  call.ending = ending;
  call.ended = now;
  --open_;
  if (ending == Ending::kClosed) ++closed_;
  if (ending == Ending::kLost) {
    broken("lost", id + " at " + nodes_[call.node] + ", given " + milliseconds(call.time) +
                       ", had no final answer after " + milliseconds(now - call.sent));
  }
}

bool Audit::attempt_arrived(const std::string& id, std::size_t server, double now,
                            std::function<bool()> is_open, AttemptNumber& number) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) {
    broken("unknown", "'" + id + "' came to " + servers_[server] + ", and no caller sent it");
    return false;
  }
  Call& call = at->second;
  look_for_second_copy(id, call, now);
  look_for_repeat(id, call, now);
  look_for_end(id, call, now);
  look_for_drain(id, call, server, now);
  number = call.attempts.size();
  call.attempts.push_back({server, now, 0, AttemptEnd::kOut, std::move(is_open)});
  return true;
}

// An earlier attempt whose connection the node has closed is out no more, whether or not its server has
// noticed yet.
void Audit::look_for_second_copy(const std::string& id, Call& call, double now) {
  for (std::size_t i = 0; i < call.attempts.size(); ++i) {
    if (call.attempts[i].how != AttemptEnd::kOut) continue;
    if (call.attempts[i].is_open()) {
      if (!rules_.allow_hedging) {
        broken("copy", id + " at " + nodes_[call.node] + " has two attempts out, at " +
                           servers_[call.attempts[i].server] + " and another");
      }
    } else {
      attempt_ended(id, i, AttemptEnd::kGivenUp, now);
    }
  }
}

void Audit::look_for_repeat(const std::string& id, const Call& call, double now) {
  const ClassPlan& plan = rules_.classes[call.request_class];
  if (plan.idempotency == Idempotency::kIdempotent) return;
  for (const Attempt& earlier : call.attempts) {
    if (earlier.how == AttemptEnd::kTurnedAway) continue;  // it surely never ran
    if (plan.idempotency == Idempotency::kNonIdempotent)
      return broken("duplicate", id + ", unsafe, may have run and came again");
    if (now > earlier.arrived + plan.dedup_window + kSocketSlack + own_lateness_) {
      broken("duplicate",
             id + " came again " + milliseconds(now - earlier.arrived) + " after it may have run");
    }
    return;  // the window runs from the first that may have run
  }
}

void Audit::look_for_end(const std::string& id, const Call& call, double now) {
  if (call.ending == Ending::kOpen) return;
  const double late = now - call.ended - kSocketSlack - own_lateness_;
  if (call.ending != Ending::kLeft) {
    if (late > 0) broken("after", id + " came to a server after its final answer");
  } else if (late > kLeave && ++sent_after_left_ > kMostSentAfterLeft) {
    broken("left", id + " came to a server " + milliseconds(now - call.ended) + " after its client had gone");
  }
}

void Audit::look_for_drain(const std::string& id, const Call& call, std::size_t server, double now) {
  const auto& barred = barred_[call.node];
  const auto since = barred.find(servers_[server]);
  if (since == barred.end() || now < since->second) return;
  const double after = now - since->second;
  double& latest = latest_after_told_[server];
  latest = std::max(latest, after);
  if (after > rules_.drain_grace + kSocketSlack + own_lateness_) {
    broken("drain", nodes_[call.node] + " sent " + id + " to " + servers_[server] + " " +
                        milliseconds(after) + " after it was told to send nothing new");
  }
}

void Audit::attempt_ended(const std::string& id, AttemptNumber number, AttemptEnd how, double now) {
  const auto at = calls_.find(id);
  if (at == calls_.end() || number >= at->second.attempts.size()) return;
  Attempt& attempt = at->second.attempts[number];
  if (attempt.how != AttemptEnd::kOut) return;
  attempt.how = how;
  attempt.ended = now;
  attempt.is_open = nullptr;
}

void Audit::told(std::size_t node, const std::string& server, bool usable, double at) {
  if (usable) {
    barred_[node].erase(server);
  } else {
    barred_[node].try_emplace(server, at);
  }
}

void Audit::close(double now) {
  for (auto& [id, call] : calls_) {
    if (call.ending == Ending::kOpen) call_ended(id, Ending::kLost, now);
    for (Attempt& attempt : call.attempts) {
      attempt.is_open = nullptr;  // what it asks may go before this does
      if (attempt.how == AttemptEnd::kOut) attempt.ended = now;
    }
  }
  if (closed_ * kClosedOneIn > calls_.size()) {
    broken("lost", std::to_string(closed_) + " of " + std::to_string(calls_.size()) +
                       " calls had their connection closed with no whole answer");
  }
}

}  // namespace nettleyoke::lab
