/// @file
/// The load that all replicas together put on servers in slow start. Each replica knows only its own traffic,
/// so only the total shows whether slow start protects a server. Simulates 1 to 300 replicas and servers with
/// queues.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

#include "balancer_harness.h"
#include "settings_reader.h"
#include "statistics/random_source.h"

namespace nettleyoke {
namespace {

// Times of a run, in seconds.
constexpr double kRunStart = 100;
constexpr double kColdStart = 108;  // when the cold servers start, which are then in slow start
constexpr double kBurstStart = 110;
constexpr double kBurstEnd = 114;
constexpr double kRunEnd = 118;

constexpr double kInitialCapacity = 0.3;
constexpr double kSlowStartSeconds = 8;
constexpr double kOverloadThreshold = 4;      // multiple of the server's capacity
constexpr double kOverloadWindowSeconds = 2;  // the load stays below the threshold in each such window
constexpr double kUtilisation = 0.8;          // of the capacity of all servers without slow start

struct Scenario {
  const char* name = "";
  int replicas = 0;
  int servers = 0;
  double rate = 0;                      // mean requests/s per replica
  double cold_fraction = 0.1;           // fraction of the servers that start at kColdStart
  double notification_spread = 0;       // s; the replicas are notified of the start within this time
  bool enabled_by_admin = false;        // the servers do not start but are disabled, then enabled
  bool half_of_replicas_start = false;  // every second replica starts at kColdStart too
  double failing_fraction = 0;          // fraction of the other servers that refuse connects during the burst
  double refuses_for = 0;               // s after their start in which the cold servers refuse connects
  std::uint64_t seed = 1;
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const Scenario& scenario, std::ostream* out) {
  *out << scenario.name << " x " << scenario.replicas;
}

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), servers_(server_count()) {
    warm_capacity_ = scenario.replicas * scenario.rate / scenario.servers / kUtilisation;
    for (std::size_t replica = 0; replica < replica_count(); ++replica) {
      rates_.push_back(random_.unit() < 1.0 / 6 ? 4 : 0.4);  // some replicas get several times the mean rate
      const double starts_at = scenario.half_of_replicas_start && replica % 2 == 1 ? kColdStart : kRunStart;
      schedule(starts_at, [this, replica] { start(replica); });
      if (starts_at < kColdStart) {
        schedule(kColdStart + scenario.notification_spread * random_.unit(),
                 [this, replica] { notify(replica); });
      }
    }
    double sum = 0;
    for (const double rate : rates_) sum += rate;
    for (double& rate : rates_) rate *= scenario.rate * scenario.replicas / sum;
    for (std::size_t replica = 0; replica < replica_count(); ++replica) {
      schedule(next_arrival(replica, kRunStart), [this, replica] { arrive(replica); });
    }
  }

  void run() {
    while (!events_.empty() && now_ < kRunEnd) {
      const ScheduledEvent next = events_.top();
      events_.pop();
      now_ = next.at;
      (*next.run)();
    }
  }

  bool is_cold(std::size_t server) const {
    return static_cast<double>(server) < scenario_.cold_fraction * scenario_.servers;
  }
  const std::vector<double>& attempt_times(std::size_t server) const {
    return servers_[server].attempt_times;
  }
  std::size_t server_count() const { return static_cast<std::size_t>(scenario_.servers); }

  // The capacity of a server in slow start, requests/s.
  double cold_capacity(double time) const {
    return warm_capacity_ *
           std::min(1.0, kInitialCapacity +
                             (1 - kInitialCapacity) * std::max(0.0, time - kColdStart) / kSlowStartSeconds);
  }
  // The number of requests that a server in slow start gets if all servers are equally utilised. A server
  // that refuses connects is correctly ejected and gets none, so that time is left out.
  double expected_requests() const {
    const double refusing = scenario_.refuses_for > 0 ? scenario_.refuses_for + 2 : 0;
    double sum = 0;
    for (double time = kColdStart + std::max(scenario_.notification_spread, refusing); time < kRunEnd;
         time += 0.01) {
      sum += 0.01 * kUtilisation * cold_capacity(time);
    }
    return sum;
  }

 private:
  struct SimulatedServer {
    double busy_until = 0;
    std::vector<double> attempt_times;
  };
  struct ScheduledEvent {
    double at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> run;
    bool operator<(const ScheduledEvent& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  std::size_t replica_count() const { return static_cast<std::size_t>(scenario_.replicas); }
  void schedule(double time, std::function<void()> run) {
    events_.push({time, ++order_, std::make_shared<std::function<void()>>(std::move(run))});
  }
  double next_arrival(std::size_t replica, double now) {
    const double rate = rates_[replica] * (now > kBurstStart && now < kBurstEnd ? 1.5 : 1);
    return now - std::log(1 - random_.unit()) / rate;
  }

  MembershipUpdate membership(bool with_cold_servers) const {
    MembershipUpdate update = members(scenario_.servers);
    if (scenario_.enabled_by_admin) return update;
    for (std::size_t server = 0; server < server_count(); ++server) {
      if (is_cold(server)) update.servers[server].started = kColdStart;
    }
    if (!with_cold_servers) {
      std::erase_if(update.servers, [](const Server& server) { return server.started > 0; });
    }
    return update;
  }

  void start(std::size_t replica) {
    Settings settings = basic_settings();
    settings.replica_count = scenario_.replicas;
    settings.replica_index = static_cast<int>(replica);
    settings.initial_capacity = kInitialCapacity;
    settings.slow_start_duration = kSlowStartSeconds;
    settings.overload_threshold = kOverloadThreshold;
    replicas_.resize(replica_count());
    replicas_[replica] = std::make_unique<ReplicaUnderTest>(settings, scenario_.seed * 1000 + replica);
    replicas_[replica]->at(now_, membership(now_ >= kColdStart));
    if (scenario_.enabled_by_admin) set_cold_servers_enabled(replica, false);
    if (scenario_.enabled_by_admin && now_ >= kColdStart) set_cold_servers_enabled(replica, true);
  }

  // Notifies a replica that the cold servers have started or are enabled again.
  void notify(std::size_t replica) {
    if (scenario_.enabled_by_admin) return set_cold_servers_enabled(replica, true);
    replicas_[replica]->at(now_, membership(true));
  }

  void set_cold_servers_enabled(std::size_t replica, bool enabled) {
    for (std::size_t cold = 0; cold < server_count() && is_cold(cold); ++cold) {
      replicas_[replica]->at(now_, ServerAdminStateChanged{server(static_cast<int>(cold)).address, enabled});
    }
  }

  void arrive(std::size_t replica) {
    schedule(next_arrival(replica, now_), [this, replica] { arrive(replica); });
    if (!replicas_[replica]) return;
    replicas_[replica]->now = now_;
    execute(replica, replicas_[replica]->request(std::to_string(++requests_)), 0);
  }

  void execute(std::size_t replica, const std::vector<Action>& actions, int attempt) {
    for (const StartAttempt& started : actions_of<StartAttempt>(actions)) {
      const auto server = static_cast<std::size_t>(std::stoul(started.server.substr(1)));
      const double response_at = serve(server);
      const double timeout_at = now_ + started.timeout;
      const Outcome outcome = refuses_connects(server)   ? Outcome::kConnectFailed
                              : response_at < 0          ? Outcome::kRejected
                              : response_at < timeout_at ? Outcome::kSucceeded
                                                         : Outcome::kTimedOut;
      const double ends_at = response_at < 0 ? now_ + 0.005 : std::min(response_at, timeout_at);
      const double started_at = now_;
      schedule(ends_at, [this, replica, attempt, outcome, started_at, id = started.id] {
        const bool is_done = outcome == Outcome::kSucceeded;
        const AttemptResult result{id, attempt, outcome, now_ - started_at, is_done};
        execute(replica, replicas_[replica]->at(now_, result), attempt + 1);
      });
    }
  }

  bool refuses_connects(std::size_t server) const {
    if (is_cold(server)) return now_ < kColdStart + scenario_.refuses_for;
    return static_cast<double>(server % 4) < 4 * scenario_.failing_fraction && now_ > kBurstStart &&
           now_ < kBurstEnd;
  }

  // Time of the response, or a negative value if the server rejects the request.
  double serve(std::size_t number) {
    SimulatedServer& server = servers_[number];
    server.attempt_times.push_back(now_);
    if (refuses_connects(number) || server.busy_until > now_ + 1) return -1;
    const double begins = std::max(server.busy_until, now_);
    server.busy_until = begins + 1 / (is_cold(number) ? cold_capacity(now_) : warm_capacity_);
    return begins + 0.05;
  }

  Scenario scenario_;
  RandomSource random_;
  std::vector<SimulatedServer> servers_;
  std::vector<double> rates_;
  std::vector<std::unique_ptr<ReplicaUnderTest>> replicas_;
  std::priority_queue<ScheduledEvent> events_;
  double now_ = 0;
  double warm_capacity_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t requests_ = 0;
};

// Expects that the requests in each window stay below the overload threshold, with a margin for the random
// variation of the arrivals.
void expect_below_overload_threshold(const SimulatedFleet& fleet, std::size_t server) {
  const std::vector<double>& times = fleet.attempt_times(server);
  for (std::size_t first = 0, last = 0; first < times.size(); ++first) {
    while (last < times.size() && times[last] < times[first] + kOverloadWindowSeconds) ++last;
    const double budget = kOverloadThreshold * kOverloadWindowSeconds * fleet.cold_capacity(times[first]);
    ASSERT_LE(static_cast<double>(last - first), budget + 2 * std::sqrt(budget) + 2)
        << "server " << server << ", " << times[first] - kColdStart << " s after its start";
  }
}

class FleetSlowStart : public testing::TestWithParam<Scenario> {};

TEST_P(FleetSlowStart, TotalLoadStaysBelowTheOverloadThresholdAndNoServerIsIdle) {
  SimulatedFleet fleet(GetParam());
  fleet.run();
  double requests = 0;
  double expected_requests = 0;
  for (std::size_t server = 0; server < fleet.server_count() && fleet.is_cold(server); ++server) {
    expect_below_overload_threshold(fleet, server);
    if (HasFailure()) return;
    const auto requests_of_server = static_cast<double>(fleet.attempt_times(server).size());
    EXPECT_GE(requests_of_server,
              fleet.expected_requests() / 4 - 2 * std::sqrt(fleet.expected_requests() / 4))
        << "server " << server;
    requests += requests_of_server;
    expected_requests += fleet.expected_requests();
  }
  EXPECT_GE(requests, 0.6 * expected_requests);
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  for (const Scenario& size : {Scenario{"", 1, 6, 40}, Scenario{"", 5, 10, 30}, Scenario{"", 30, 12, 10},
                               Scenario{"", 30, 40, 20}, Scenario{"", 300, 100, 8}, Scenario{"", 300, 20, 3},
                               Scenario{"", 300, 300, 4}, Scenario{"", 300, 6, 0.5}}) {
    const auto add = [&](Scenario scenario) {
      scenario.replicas = size.replicas;
      scenario.servers = size.servers;
      scenario.rate = size.rate;
      scenario.seed = all.size() + 1;
      all.push_back(scenario);
    };
    add({.name = "OneInTenCold"});
    add({.name = "SixInTenCold", .cold_fraction = 0.6});
    add({.name = "AllCold", .cold_fraction = 1});
    add({.name = "EnabledByAdmin", .enabled_by_admin = true});
    add({.name = "NotifiedLate", .cold_fraction = 0.3, .notification_spread = 1});
    add({.name = "HalfOfTheReplicasJustStarted", .cold_fraction = 0.3, .half_of_replicas_start = true});
    add({.name = "SomeOtherServersFail", .cold_fraction = 0.3, .failing_fraction = 0.25});
    add({.name = "RefusingAfterStart", .cold_fraction = 0.3, .refuses_for = 3});
    add({.name = "AllOtherServersFail", .cold_fraction = 0.3, .failing_fraction = 1});
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(, FleetSlowStart, testing::ValuesIn(scenarios()), [](const auto& test) {
  return std::string(test.param.name) + "With" + std::to_string(test.param.replicas) + "On" +
         std::to_string(test.param.servers);
});

// The fraction of 50 requests/s that is sent to four servers at the beginning of a very long slow start.
double sent_fraction(const std::string& rules) {
  rapidjson::Document document;
  document.Parse(
      (R"({"position":0,"peersTotal":1,"bounds":{},"categories":[{"aim":2,"giveUp":6,"effect":"safe"}],
                    "rules":{"startCapacity":0.3,"rampTime":1e6)" +
       rules + "}}")
          .c_str());
  ReplicaUnderTest replica(json::read_settings(document));
  MembershipUpdate all_cold = members(4);
  for (Server& server : all_cold.servers) server.started = 100;
  replica.at(100, all_cold);
  double started = 0;
  for (int i = 0; i < 2000; ++i) {
    replica.now += 0.02;
    const std::string id = std::to_string(i);
    started += static_cast<double>(actions_of<StartAttempt>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSucceeded);
  }
  return started / 2000;
}

// A low overload threshold protects servers that fail at a lower overload than most.
TEST(SlowStartBudget, IsHalvedByALowOverloadThreshold) {
  const double by_default = sent_fraction("");
  EXPECT_GT(by_default, 0.2);  // below 0.3, as the admitted rate is learned first
  EXPECT_LT(by_default, 0.33);
  EXPECT_EQ(sent_fraction(R"(,"tipMultiple":4)"), by_default);
  EXPECT_NEAR(sent_fraction(R"(,"tipMultiple":1)"), by_default / 2, 0.03);
  EXPECT_THROW(sent_fraction(R"(,"tipMultiple":-1)"), std::invalid_argument);
  EXPECT_THROW(sent_fraction(R"(,"tipMultiple":"4")"), json::InvalidMessage);
}

}  // namespace
}  // namespace nettleyoke
