#include "load/load_generator.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace nettleyoke::lab {
namespace {

constexpr double kMinTimeoutSeconds = 0.001;  // X-Timeout-Ms has whole milliseconds

}  // namespace

using boost::system::error_code;
using node::Clock;

LoadGenerator::LoadGenerator(boost::asio::io_context& io, const Clock& clock, InvariantChecker& checker,
                             const Experiment& experiment, const LoadSpec& spec,
                             std::vector<NodeUnderTest*> nodes, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      checker_(checker),
      experiment_(experiment),
      spec_(spec),
      nodes_(std::move(nodes)),
      retry_random_(seed, "retries"),
      timer_(io) {
  if (!spec_.zone.empty()) {
    std::erase_if(nodes_, [this](const NodeUnderTest* node) { return node->zone() != spec_.zone; });
  }
  if (!nodes_.empty()) draw_arrivals(seed);
}

void LoadGenerator::draw_arrivals(std::uint64_t seed) {
  RandomStream random(seed, "arrivals");
  std::vector<double> class_shares;
  for (const ClassSpec& spec : experiment_.classes) class_shares.push_back(spec.share);
  std::vector<double> tenant_shares;
  for (const TenantSpec& spec : experiment_.tenants) tenant_shares.push_back(spec.share);
  const double until = spec_.until > 0 ? std::min(spec_.until, experiment_.seconds) : experiment_.seconds;
  const double mean_pause = 1 / spec_.per_second;
  // The order of the draws must not change: it determines the load of a given seed.
  for (double at = spec_.from + random.exponential(mean_pause); at < until;
       at += random.exponential(mean_pause)) {
    Arrival arrival;
    arrival.at = at;
    arrival.node = nodes_[random.uniform_index(nodes_.size())];
    arrival.call = draw_call(random, class_shares, tenant_shares);
    arrivals_.push_back(std::move(arrival));
  }
}

NodeUnderTest::Call LoadGenerator::draw_call(RandomStream& random, const std::vector<double>& class_shares,
                                             const std::vector<double>& tenant_shares) const {
  NodeUnderTest::Call call;
  call.id = random.hex_id();
  call.class_number = random.weighted_index(class_shares);
  if (!tenant_shares.empty()) {
    call.tenant_number = random.weighted_index(tenant_shares);
    call.tenant = experiment_.tenants[call.tenant_number].name;
  }
  const ClassSpec& spec = experiment_.classes[call.class_number];
  call.request_class = spec.name;
  call.is_post = spec.idempotency != Idempotency::kIdempotent;
  if (spec.idempotency == Idempotency::kIdempotencyKey) call.idempotency_key = random.hex_id();
  call.timeout = spec.client_timeout;
  if (random.uniform() < spec_.disconnect_share) {
    call.disconnect_after = std::max(kMinTimeoutSeconds, random.uniform() * spec.latency_objective);
  }
  return call;
}

void LoadGenerator::start() {
  started_at_ = clock_.now();
  wait_for_arrival();
}

void LoadGenerator::stop() {
  stopped_ = true;
  timer_.cancel();
}

void LoadGenerator::wait_for_arrival() {
  if (stopped_ || next_arrival_ == arrivals_.size()) return;
  timer_.expires_at(clock_.to_time_point(started_at_ + arrivals_[next_arrival_].at));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    while (next_arrival_ < arrivals_.size() && started_at_ + arrivals_[next_arrival_].at <= clock_.now()) {
      const Arrival& arrival = arrivals_[next_arrival_++];
      send(arrival.node, arrival.call, {clock_.now() + arrival.call.timeout, spec_.retries});
    }
    wait_for_arrival();
  });
}

void LoadGenerator::send(NodeUnderTest* node, const NodeUnderTest::Call& call, RetryAllowance allowance) {
  checker_.call_sent(call.id, node->number(), call.class_number, call.timeout, clock_.now());
  node->call(call, [this, node, call, allowance](CallOutcome outcome) {
    checker_.call_ended(call.id, outcome, clock_.now());
    if (may_retry(call, outcome)) schedule_retry(node, call, allowance);
  });
}

// The client retries a failed request only if it is idempotent, because a server may have processed it; the
// node has already made the retries that its class allows.
bool LoadGenerator::may_retry(const NodeUnderTest::Call& call, CallOutcome outcome) const {
  if (outcome == CallOutcome::kRejected) return true;
  return outcome == CallOutcome::kFailed &&
         experiment_.classes[call.class_number].idempotency == Idempotency::kIdempotent;
}

void LoadGenerator::schedule_retry(NodeUnderTest* node, NodeUnderTest::Call call, RetryAllowance allowance) {
  if (allowance.retries_left <= 0 || stopped_) return;
  ++waiting_retries_;
  const double pause = spec_.retry_pause > 0 ? retry_random_.exponential(spec_.retry_pause) : 0;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, Clock::to_duration(pause));
  timer->async_wait([this, timer, node, call, allowance](error_code cancelled) mutable {
    --waiting_retries_;
    call.timeout = allowance.deadline - clock_.now();
    if (cancelled || stopped_ || call.timeout < kMinTimeoutSeconds) return;
    call.id = retry_random_.hex_id();
    call.is_retry = true;
    send(node, call, {allowance.deadline, allowance.retries_left - 1});
  });
}

}  // namespace nettleyoke::lab
