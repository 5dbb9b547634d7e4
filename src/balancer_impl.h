/// @file
/// The implementation of Balancer: dispatches events to the modules and emits actions.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/load_shedding_log.h"
#include "admission/tenant_table.h"
#include "attempts/request_class_table.h"
#include "attempts/request_state.h"
#include "attempts/retry_budget.h"
#include "capacity/concurrency_limits.h"
#include "health/slow_start.h"
#include "membership/server_registry.h"
#include "membership/subsetting.h"
#include "membership/watch_backoff.h"
#include "nettleyoke/balancer.h"
#include "selection/endpoint_selector.h"
#include "statistics/random_source.h"

namespace nettleyoke {

/// Owns the modules and the open requests. Each module decides one question; this class defines the order in
/// which they are called. balancer.cpp handles membership and settings, request_handling.cpp requests and
/// attempt_results.cpp the results of attempts.
class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed);

  void handle(double now, const Event& event, std::vector<Action>& actions);

  [[nodiscard]] bool may_retry_incomplete_response(double now, const std::string& id);
  [[nodiscard]] std::size_t server_count() const { return registry_.tracked_count(); }
  [[nodiscard]] std::size_t unavailable_server_count(double now) const {
    return registry_.unavailable_count(now);
  }
  [[nodiscard]] TenantStatistics tenant_statistics(double now, std::size_t tenant) const {
    return tenants_.at(tenant)->statistics(now);
  }

 private:
  using RequestMap = std::unordered_map<std::string, RequestState>;

  // Membership and settings: balancer.cpp.
  void on(const Started& started);
  void on(const MembershipUpdate& update);
  void on(const ServerAdminStateChanged& change);
  void on(const SettingsReplaced& replaced);
  void on(const TimerFired& timer);
  void apply_settings(const Settings& settings);
  void on_watch_failed();

  // Requests: request_handling.cpp.
  void on(const Request& request);
  void on(const RequestBodyComplete& complete);
  void on(const RequestCancelled& cancelled);
  [[nodiscard]] RequestState make_state(const Request& request, bool within_quota) const;
  [[nodiscard]] bool start_attempt(const std::string& id, RequestState& request);
  void add_in_flight(AttemptRecord& attempt);
  void remove_in_flight(AttemptRecord& attempt);
  void shed(const std::string& id, ShedReason reason);
  void reject(const std::string& id);
  void reject_or_fail(const std::string& id, RequestState& request);
  void cancel_open_attempts(const std::string& id, const RequestState& request);
  void close(RequestMap::iterator entry);
  void log_load_shedding(ShedReason reason);

  // Results of attempts: attempt_results.cpp.
  void on(const ResponseStarted& started);
  void on(const AttemptResult& result);
  void learn_from(const RequestState& request, ServerRecord& server, const AttemptResult& result);
  void learn_latency(const RequestState& request, ServerRecord& server, const AttemptResult& result);
  void detect_overload(ServerRecord& server);
  [[nodiscard]] bool are_servers_overloaded() const;

  Settings settings_;
  RandomSource random_;
  TenantTable tenants_;
  RequestClassTable classes_;
  ServerRegistry registry_;
  Subset subset_;
  SlowStartPolicy slow_start_;
  TierConcurrencyLimit tier_limit_;
  EndpointSelector selector_{registry_, subset_, tier_limit_, slow_start_, random_};
  RetryBudget retry_budget_;
  WatchBackoff watch_backoff_;
  LoadSheddingLog load_shedding_log_;
  RequestMap requests_;  // never iterated, because its order differs between platforms

  // Token of the last timer set. An earlier timer, from before the settings were replaced, may still be
  // pending; it is ignored, because it would start a second watch.
  std::uint64_t watch_timer_token_ = 0;

  // Time and actions of the event being handled.
  double now_ = 0;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace nettleyoke
