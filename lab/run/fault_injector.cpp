#include "run/fault_injector.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "net/loopback.h"

namespace nettleyoke::lab {
namespace {

using boost::system::error_code;
using Kind = FaultInjection::Kind;

constexpr double kCrashDetectionSeconds = 1;  // from a server's crash until discovery removes it

std::int64_t unix_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

FaultInjector::FaultInjector(boost::asio::io_context& io, const node::Clock& clock, Fleet& fleet,
                             const std::vector<FaultInjection>& faults, OnInjection on_injection)
    : io_(io),
      clock_(clock),
      fleet_(fleet),
      faults_(faults),
      on_injection_(std::move(on_injection)),
      timer_(io) {}

void FaultInjector::start(double first_call) {
  first_call_ = first_call;
  wait_for_next();
}

void FaultInjector::wait_for_next() {
  if (next_ == faults_.size()) return;
  timer_.expires_at(clock_.to_time_point(first_call_ + faults_[next_].at));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    inject(faults_[next_++]);
    wait_for_next();
  });
}

void FaultInjector::inject(const FaultInjection& fault) {
  on_injection_(fault);
  if (targets_server(fault.kind)) return inject_into_server(fault, *fleet_.server(fault.server));
  for (const FleetNode& fleet_node : fleet_.nodes()) inject_into_agent(fault, fleet_node);
  if (fault.kind == Kind::kPartition) {
    fleet_.set_partitioned_zone(fault.zone);
    net::run_after(io_, fault.seconds, [this] { fleet_.set_partitioned_zone(""); });
  }
}

void FaultInjector::inject_into_server(const FaultInjection& fault, ServerStandIn& server) {
  ServerModel& model = server.model();
  switch (fault.kind) {
    case Kind::kHang:
      return model.set_hanging(true);
    case Kind::kSlow:
      return model.set_speed(fault.factor);
    case Kind::kFail:
      return model.set_failing(true);
    case Kind::kRecover:
      model.set_hanging(false);
      model.set_failing(false);
      return model.set_speed(1);
    case Kind::kCrash:
      return crash(server);
    case Kind::kStart:
      server.start();
      return fleet_.publish_status(server, EndpointStatus::kUp, unix_milliseconds());
    case Kind::kDrain:
      return fleet_.publish_status(server, EndpointStatus::kDraining, 0);
    case Kind::kRemove:
      return fleet_.publish_status(server, EndpointStatus::kRemoved, 0);
    default:
      return;
  }
}

void FaultInjector::crash(ServerStandIn& server) {
  server.crash();
  net::run_after(io_, kCrashDetectionSeconds, [this, &server] {
    if (!server.is_up()) fleet_.publish_status(server, EndpointStatus::kRemoved, 0);
  });
}

void FaultInjector::inject_into_agent(const FaultInjection& fault, const FleetNode& fleet_node) {
  DiscoveryAgent& agent = *fleet_node.agent;
  switch (fault.kind) {
    case Kind::kDiscoveryDown:
      agent.set_down(true);
      return net::run_after(io_, fault.seconds, [&agent] { agent.set_down(false); });
    case Kind::kResetWatches:
      return agent.reset_watches();
    case Kind::kStallWatches:
      return agent.stall_watches();
    case Kind::kDelayDiscovery:
      return agent.set_delay(fault.seconds);
    case Kind::kPartition:
      if (fleet_node.node->zone() != fault.zone) return;
      agent.set_partitioned(true);
      return net::run_after(io_, fault.seconds, [&agent] { agent.set_partitioned(false); });
    default:
      return;
  }
}

}  // namespace nettleyoke::lab
