#include "load/load_generator.h"

#include <algorithm>
#include <utility>

namespace nettleyoke::lab {

using boost::system::error_code;
using node::Clock;

Callers::Callers(boost::asio::io_context& io, const Clock& clock, Audit& audit, const Experiment& experiment,
                 const CallersPlan& plan, std::vector<PlayedNode*> nodes, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      audit_(audit),
      experiment_(experiment),
      plan_(plan),
      nodes_(std::move(nodes)),
      draws_(seed, "retries"),
      timer_(io) {
  if (!plan_.zone.empty()) {
    std::erase_if(nodes_, [this](const PlayedNode* node) { return node->zone() != plan_.zone; });
  }
  if (nodes_.empty()) return;
  Draws draws(seed, "arrivals");
  std::vector<double> classes, tenants;
  for (const ClassPlan& item : experiment.classes) classes.push_back(item.share);
  for (const TenantPlan& item : experiment.tenants) tenants.push_back(item.share);
  const double until = plan.until > 0 ? std::min(plan.until, experiment.seconds) : experiment.seconds;
  double at = plan.from + draws.exponential(1 / plan.per_second);
  for (; at < until; at += draws.exponential(1 / plan.per_second)) {
    Arrival arrival;
    arrival.at = at;
    arrival.node = nodes_[draws.below(nodes_.size())];
    PlayedNode::Call& call = arrival.call;
    call.id = draws.hex16();
    call.class_number = draws.by_share(classes);
    if (!tenants.empty()) {
      call.tenant_number = draws.by_share(tenants);
      call.tenant = experiment.tenants[call.tenant_number].name;
    }
    const ClassPlan& kind = experiment.classes[call.class_number];
    call.request_class = kind.name;
    call.is_post = kind.idempotency != Idempotency::kIdempotent;
    if (kind.idempotency == Idempotency::kIdempotencyKey) call.key = draws.hex16();
    call.time = kind.client_timeout;
    if (draws.uniform() < plan.leave_share)
      call.leave_after = std::max(0.001, draws.uniform() * kind.latency_objective);
    arrivals_.push_back(std::move(arrival));
  }
}

void Callers::start() {
  began_ = clock_.now();
  wait();
}

void Callers::stop() {
  stopped_ = true;
  timer_.cancel();
}

void Callers::wait() {
  if (stopped_ || next_ == arrivals_.size()) return;
  timer_.expires_at(clock_.at(began_ + arrivals_[next_].at));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    while (next_ < arrivals_.size() && began_ + arrivals_[next_].at <= clock_.now()) {
      const Arrival& arrival = arrivals_[next_++];
      send(arrival.node, arrival.call, clock_.now() + arrival.call.time, plan_.retries);
    }
    wait();
  });
}

void Callers::send(PlayedNode* node, const PlayedNode::Call& call, double give_up_at, int tries_left) {
  audit_.call_sent(call.id, node->number(), call.class_number, call.time, clock_.now());
  node->call(call, [this, node, call, give_up_at, tries_left](Ending ending) {
    audit_.call_ended(call.id, ending, clock_.now());
    // What may have had its effect is not asked for again: the node has done what the class allows.
    const bool is_safe = experiment_.classes[call.class_number].idempotency == Idempotency::kIdempotent;
    if (ending == Ending::kRefused || (ending == Ending::kFailed && is_safe)) {
      try_again(node, call, give_up_at, tries_left);
    }
  });
}

void Callers::try_again(PlayedNode* node, PlayedNode::Call call, double give_up_at, int tries_left) {
  if (tries_left <= 0 || stopped_) return;
  ++pauses_;
  const double pause = plan_.retry_pause > 0 ? draws_.exponential(plan_.retry_pause) : 0;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, Clock::span(pause));
  timer->async_wait([this, timer, node, call, give_up_at, tries_left](error_code cancelled) mutable {
    --pauses_;
    call.time = give_up_at - clock_.now();
    if (cancelled || stopped_ || call.time < 0.001) return;
    call.id = draws_.hex16();
    call.is_retry = true;
    send(node, call, give_up_at, tries_left - 1);
  });
}

}  // namespace nettleyoke::lab
