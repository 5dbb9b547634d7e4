/// @file
/// Injects an experiment's faults into a fleet as they fall due.
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

  /// @param faults in the order of their times; they and the fleet outlive this
  /// @param on_injection called for each fault, just before it is injected
  FaultInjector(boost::asio::io_context& io, const node::Clock& clock, Fleet& fleet,
                const std::vector<FaultInjection>& faults, OnInjection on_injection);

  /// @param first_call the time that the faults' times count from, on the lab's clock
  void start(double first_call);
  /// Injects no more faults. Those that last end on time.
  void stop() { timer_.cancel(); }

 private:
  void wait_for_next();
  void inject(const FaultInjection& fault);
  void inject_into_server(const FaultInjection& fault, ServerStandIn& server);
  void crash(ServerStandIn& server);
  void inject_into_agent(const FaultInjection& fault, const FleetNode& part);

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
