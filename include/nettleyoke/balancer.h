/// @file
/// The decisions of a load balancer between services.
///
/// A Balancer is one replica of the load balancer. It receives events and returns actions. It has no
/// clock, no I/O, no threads and no globals: the same settings, seed and events always give the same actions.
/// All times are seconds (double) on the host's clock, which may start anywhere but never runs backwards; all
/// durations are seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "nettleyoke/actions.h"
#include "nettleyoke/events.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// Admission of one tenant's requests at this replica.
struct TenantStatistics {
  double rate_limit = 0;          ///< Learned limit, requests per second.
  double suppression_factor = 0;  ///< Fraction of requests that is rejected, 0 to 1.
  double total = 0;               ///< Requests in the sliding window.
  double rejected = 0;            ///< Rejected requests among them.
};

/// One replica of the load balancer. Not thread-safe.
class Balancer {
 public:
  /// @param seed Seed of the random draws.
  /// @throws std::invalid_argument that names the field, if a setting is out of range.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Handles one event.
  /// @param now Time of the host's clock, s; not before that of the last event.
  /// @param actions The actions to execute are appended to it, in order.
  /// @throws std::invalid_argument if a setting of a SettingsReplaced event is out of range; the balancer
  /// then keeps its settings.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  /// Whether the host should give up an attempt whose response has begun and is late, because the request
  /// would be retried. Only one response of a request is given up in this way: if that of a second server is
  /// late too, the response itself takes long. Changes no decision.
  /// @param id Of an open request.
  [[nodiscard]] bool may_retry_incomplete_response(double now, const std::string& id);

  /// Admission statistics, for metrics.
  /// @param tenant Index into Settings::tenants; an index out of range stands for traffic without a tenant.
  [[nodiscard]] TenantStatistics tenant_statistics(double now, std::size_t tenant) const;
  /// Number of tracked servers: the listed ones, and removed ones that open requests still refer to.
  [[nodiscard]] std::size_t server_count() const;
  /// Number of listed servers that are administratively disabled or ejected.
  [[nodiscard]] std::size_t unavailable_server_count(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// The fraction of requests to reject, 0 to 1.
/// @param rate_limit Rate limit of the tenant, requests per second.
/// @param window_rate Rate over the whole sliding window, requests per second.
/// @param last_second_rate Rate over the last second, requests per second.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

/// The subset of one replica, as positions in a list of servers that all replicas sort alike.
/// @param server_count Number of servers in the list.
/// @param size Size of the subset; all servers if there are fewer.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count,
                                   std::size_t server_count, std::size_t size);

}  // namespace nettleyoke
