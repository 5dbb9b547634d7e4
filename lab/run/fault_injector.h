/// @file
/// Injects the faults of an experiment into a fleet at their times.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

#include "clock.h"
#include "run/experiment.h"
#include "run/fleet.h"

namespace nettleyoke::lab {

class FaultInjector {
 public:
  using OnInjection = std::function<void(const FaultInjection&)>;

  /// @param faults sorted by time; they and the fleet must outlive this object
  /// @param on_injection called just before each fault is injected
  FaultInjector(boost::asio::io_context& io, const node::Clock& clock, Fleet& fleet,
                const std::vector<FaultInjection>& faults, OnInjection on_injection);

  /// @param first_call time of the first call on the lab's clock; the faults' times are relative to it
  void start(double first_call);
  /// Injects no further faults. Injected faults with a duration still end on time.
  void stop() { timer_.cancel(); }

 private:
  void wait_for_next();
  void inject(const FaultInjection& fault);
  void inject_into_server(const FaultInjection& fault, ServerStandIn& server);
  void crash(ServerStandIn& server);
  void inject_into_agent(const FaultInjection& fault, const FleetNode& fleet_node);

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Fleet& fleet_;
  const std::vector<FaultInjection>& faults_;
  OnInjection on_injection_;
  boost::asio::steady_timer timer_;
  std::size_t next_ = 0;
  double first_call_ = 0;
};

}  // namespace nettleyoke::lab
