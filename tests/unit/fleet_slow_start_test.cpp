/// @file
/// What all replicas together send to servers in slow start. Each replica knows its own traffic alone, so
/// that only the sum shows whether the slow start holds: simulated here with 1 to 300 replicas against
/// servers that queue.
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
constexpr double kColdStart = 108;  // of the servers in slow start
constexpr double kBurstStart = 110;
constexpr double kBurstEnd = 114;
constexpr double kRunEnd = 118;

constexpr double kInitialCapacity = 0.3;
constexpr double kSlowStartSeconds = 8;
constexpr double kOverloadThreshold = 4;      // x what the server can do
constexpr double kOverloadWindowSeconds = 2;  // in which it must not be reached
constexpr double kUtilisation = 0.8;          // of what the servers can do, were all warm

struct Scenario {
  const char* name = "";
  int replicas = 0;
  int servers = 0;
  double rate = 0;                  // requests a second a replica, in the mean
  double cold_part = 0.1;           // of the servers: they start at kColdStart
  double notified_over = 0;         // s; the replicas are notified of it over this time
  bool by_admin = false;            // the servers were disabled and are enabled again
  bool half_just_started = false;   // each second replica has just started itself
  double failing_part = 0;          // of the other servers: they refuse connects during the burst
  double refusing_after_start = 0;  // s; the cold ones refuse connects so long after their start
  std::uint64_t seed = 1;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Scenario& scenario, std::ostream* out) {
  *out << scenario.name << " x " << scenario.replicas;
}

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), servers_(server_count()) {
    warm_capacity_ = scenario.replicas * scenario.rate / scenario.servers / kUtilisation;
    for (std::size_t replica = 0; replica < replica_count(); ++replica) {
      rates_.push_back(random_.unit() < 1.0 / 6 ? 4 : 0.4);  // some get several times the mean
      const double starts_at = scenario.half_just_started && replica % 2 == 1 ? kColdStart : kRunStart;
      schedule(starts_at, [this, replica] { start(replica); });
      if (starts_at < kColdStart) {
        schedule(kColdStart + scenario.notified_over * random_.unit(), [this, replica] { notify(replica); });
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
    return static_cast<double>(server) < scenario_.cold_part * scenario_.servers;
  }
  const std::vector<double>& attempt_times(std::size_t server) const {
    return servers_[server].attempt_times;
  }
  std::size_t server_count() const { return static_cast<std::size_t>(scenario_.servers); }

  // What a server in slow start can do, in requests a second.
  double cold_capacity(double time) const {
    return warm_capacity_ *
           std::min(1.0, kInitialCapacity +
                             (1 - kInitialCapacity) * std::max(0.0, time - kColdStart) / kSlowStartSeconds);
  }
  // The requests that come to a server in slow start where all get alike of what they can do. One that
  // refused connects is ejected for its failures at first, as it should be.
  double fair_requests() const {
    const double refusing = scenario_.refusing_after_start > 0 ? scenario_.refusing_after_start + 2 : 0;
    double sum = 0;
    for (double time = kColdStart + std::max(scenario_.notified_over, refusing); time < kRunEnd;
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

  MembershipUpdate list(bool with_cold_servers) const {
    MembershipUpdate update = members(scenario_.servers);
    if (scenario_.by_admin) return update;
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
    replicas_[replica]->at(now_, list(now_ >= kColdStart));
    if (scenario_.by_admin) set_cold_servers_enabled(replica, false);
    if (scenario_.by_admin && now_ >= kColdStart) set_cold_servers_enabled(replica, true);
  }

  void notify(std::size_t replica) {
    if (scenario_.by_admin) return set_cold_servers_enabled(replica, true);
    replicas_[replica]->at(now_, list(true));
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
    follow(replica, replicas_[replica]->request(std::to_string(++requests_)), 0);
  }

  void follow(std::size_t replica, const std::vector<Action>& actions, int attempt) {
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
        follow(replica, replicas_[replica]->at(now_, result), attempt + 1);
      });
    }
  }

  bool refuses_connects(std::size_t server) const {
    if (is_cold(server)) return now_ < kColdStart + scenario_.refusing_after_start;
    return static_cast<double>(server % 4) < 4 * scenario_.failing_part && now_ > kBurstStart &&
           now_ < kBurstEnd;
  }

  // When the response comes, or below 0 where the server rejects the request.
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

// No window of requests may reach the overload threshold, but for the scatter of arrivals.
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

TEST_P(FleetSlowStart, SumOfAllReplicasStaysInBoundsAndLeavesNoServerIdle) {
  SimulatedFleet fleet(GetParam());
  fleet.run();
  double requests = 0;
  double fair_requests = 0;
  for (std::size_t server = 0; server < fleet.server_count() && fleet.is_cold(server); ++server) {
    expect_below_overload_threshold(fleet, server);
    if (HasFailure()) return;
    const auto requests_of_server = static_cast<double>(fleet.attempt_times(server).size());
    EXPECT_GE(requests_of_server, fleet.fair_requests() / 4 - 2 * std::sqrt(fleet.fair_requests() / 4))
        << "server " << server;
    requests += requests_of_server;
    fair_requests += fleet.fair_requests();
  }
  EXPECT_GE(requests, 0.6 * fair_requests);
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
    add({.name = "One"});
    add({.name = "SixInTen", .cold_part = 0.6});
    add({.name = "All", .cold_part = 1});
    add({.name = "EnabledByAdmin", .by_admin = true});
    add({.name = "NotifiedLate", .cold_part = 0.3, .notified_over = 1});
    add({.name = "HalfOfTheReplicasJustStarted", .cold_part = 0.3, .half_just_started = true});
    add({.name = "SomeOthersFail", .cold_part = 0.3, .failing_part = 0.25});
    add({.name = "RefusingAfterStart", .cold_part = 0.3, .refusing_after_start = 3});
    add({.name = "AllOthersFail", .cold_part = 0.3, .failing_part = 1});
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(, FleetSlowStart, testing::ValuesIn(scenarios()), [](const auto& test) {
  return std::string(test.param.name) + "With" + std::to_string(test.param.replicas) + "On" +
         std::to_string(test.param.servers);
});

// The requests a second that go to four servers at the beginning of a very long slow start.
double served_rate(const std::string& rules) {
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

// A setting for servers that fall sooner than most.
TEST(SlowStartBudget, LowOverloadThresholdHalvesIt) {
  const double usual = served_rate("");
  EXPECT_GT(usual, 0.2);  // its rate is learned first
  EXPECT_LT(usual, 0.33);
  EXPECT_EQ(served_rate(R"(,"tipMultiple":4)"), usual);
  EXPECT_NEAR(served_rate(R"(,"tipMultiple":1)"), usual / 2, 0.03);
  EXPECT_THROW(served_rate(R"(,"tipMultiple":-1)"), std::invalid_argument);
  EXPECT_THROW(served_rate(R"(,"tipMultiple":"4")"), json::InvalidMessage);
}

}  // namespace
}  // namespace nettleyoke
