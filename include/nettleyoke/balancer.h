/// @file
/// The decisions of a load balancer for services that call services.
///
/// A Balancer is one replica of the load balancer. It is notified of events and returns actions. It has no
/// clock, no I/O, no threads and no globals: the same settings, seed and events always give the same actions.
/// All times are seconds (double) on the host's clock, which may start anywhere but never runs backwards; all
/// durations are seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "nettleyoke/actions.h"
#include "nettleyoke/events.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// What can be observed of one tenant's admission.
struct TenantStatistics {
  double rate_limit = 0;          ///< Learned limit, calls per second.
  double suppression_factor = 0;  ///< 0: all admitted, 1: all declined.
  double total = 0;               ///< Calls in the sliding window.
  double declined = 0;            ///< Of these, declined.
};

/// One replica of the load balancer. Not safe for use by several threads at once.
class Balancer {
 public:
  /// @param seed Of the random draws.
  /// @throws std::invalid_argument, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Handles one event.
  /// @param now Time of the host's clock, s; not before that of the last event.
  /// @param actions What is to be done is appended to it, in order.
  /// @throws std::invalid_argument for a SettingsReplaced event whose settings cannot be used; nothing is
  /// changed.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  /// For metrics; changes nothing. An index out of range stands for traffic without a tenant.
  [[nodiscard]] TenantStatistics tenant(double now, std::size_t tenant) const;
  /// How many servers are tracked: the listed ones, and removed ones that open requests still refer to.
  [[nodiscard]] std::size_t servers() const;
  /// Listed servers that get no new calls now: administratively disabled, or ejected for their failures.
  [[nodiscard]] std::size_t unavailable_servers(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// The part of calls to decline, 0 to 1, for a limit and the two rates of the sliding window (calls per
/// second).
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

/// The positions, out of `servers` in a fixed order, that replica `replica_index` of `replica_count` uses.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size);

}  // namespace nettleyoke
