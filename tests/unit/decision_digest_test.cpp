/// @file
/// Guards the balancer's decisions against unintended changes: runs long random event streams and compares
/// digests of all actions with the expected ones.
///
/// The expected digests are those of commit a43169a. Restructuring or renaming must not change them. A commit
/// that changes decisions on purpose updates them and says so.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "event_stream.h"

namespace nettleyoke::stream {
namespace {

constexpr std::size_t kCheckpoints = 4;
constexpr std::size_t kEventsPerCheckpoint = 10000;
constexpr std::size_t kEventsBetweenStatistics = 100;

// FNV-1a hash of text.
class Digest {
 public:
  void add(const std::string& text) {
    for (const char c : text) value_ = (value_ ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xCBF29CE484222325ULL;
};

// The texts that enter the digest; a changed word, such as "refuse", changes all digests. Numbers have nine
// digits, because the last bits of libm results differ between platforms.
std::string text_of(double number) {
  std::array<char, 40> out{};
  std::snprintf(out.data(), out.size(), "%.9g", number);
  return out.data();
}

std::string text_of(const StartAttempt& started) {
  return "send " + started.id + " " + started.server + " " + text_of(started.timeout) + " " +
         text_of(started.deadline) + " " + (started.send_within ? text_of(*started.send_within) : "-");
}
std::string text_of(const Reject& rejection) {
  return "refuse " + rejection.id + " " + text_of(rejection.retry_after);
}
std::string text_of(const Fail& failure) { return "fail " + failure.id; }
std::string text_of(const CancelAttempt& cancel) {
  return "cancel " + cancel.id + " " + std::to_string(cancel.attempt);
}
std::string text_of(const SetTimer& timer) {
  return "timer " + text_of(timer.due_at) + " " + std::to_string(timer.token);
}
std::string text_of(const WatchMembership&) { return "watch"; }
std::string text_of(const LogLine&) { return ""; }  // the wording of log lines is not a decision

// The digest of the actions of one stream, and counts of its events and actions by kind.
class DecisionRecord {
 public:
  void add_event(double now, std::size_t replica, const Balancer& balancer, const Event& event,
                 const std::vector<Action>& actions) {
    ++events_;
    ++event_kinds_[event.index()];
    if (const auto* result = std::get_if<AttemptResult>(&event)) {
      ++outcomes_[static_cast<std::size_t>(result->outcome)];
    }
    if (const auto* update = std::get_if<MembershipUpdate>(&event)) {
      ++forms_[static_cast<std::size_t>(update->form)];
    }
    for (const Action& action : actions) {
      ++action_kinds_[action.index()];
      const std::string text =
          std::visit([](const auto& typed_action) { return text_of(typed_action); }, action);
      if (text.empty()) continue;
      ++actions_;
      digest_.add(std::to_string(events_) + " " + std::to_string(replica) + " " + text + "\n");
    }
    if (events_ % kEventsBetweenStatistics == 0) add_statistics(now, balancer);
    if (events_ % kEventsPerCheckpoint == 0 && checkpoints_.size() + 1 < kCheckpoints) {
      checkpoints_.push_back(digest_.value());
    }
  }
  // The digests after 10,000, 20,000 and 30,000 events and at the end.
  std::vector<std::uint64_t> checkpoints() const {
    std::vector<std::uint64_t> out = checkpoints_;
    out.push_back(digest_.value());
    return out;
  }
  std::size_t events() const { return events_; }
  std::size_t actions() const { return actions_; }
  template <typename Kind>
  std::size_t count_of() const {
    return action_kinds_[Action(Kind{}).index()];
  }
  const auto& event_kinds() const { return event_kinds_; }
  const auto& outcomes() const { return outcomes_; }
  const auto& forms() const { return forms_; }

 private:
  void add_statistics(double now, const Balancer& balancer) {
    std::string text = "views " + std::to_string(balancer.server_count()) + " " +
                       std::to_string(balancer.unavailable_server_count(now));
    for (std::size_t tenant = 0; tenant < 4; ++tenant) {
      const TenantStatistics statistics = balancer.tenant_statistics(now, tenant);
      text += " " + text_of(statistics.rate_limit) + " " + text_of(statistics.suppression_factor) + " " +
              text_of(statistics.total) + " " + text_of(statistics.rejected);
    }
    digest_.add(text + "\n");
  }

  Digest digest_;
  std::size_t events_ = 0, actions_ = 0;
  std::array<std::size_t, std::variant_size_v<Event>> event_kinds_{};
  std::array<std::size_t, std::variant_size_v<Action>> action_kinds_{};
  std::array<std::size_t, 9> outcomes_{};
  std::array<std::size_t, 3> forms_{};
  std::vector<std::uint64_t> checkpoints_;
};

// ---------------------------------------------------------------- scenarios

RequestClass request_class(const std::string& name, double latency_objective, Idempotency idempotency,
                           DedupScope scope = DedupScope::kAll) {
  RequestClass out;
  out.latency_objective = latency_objective;
  out.objective_growth = 2;
  out.client_timeout = latency_objective * 3;
  out.idempotency = idempotency;
  out.dedup_scope = scope;
  out.dedup_window = latency_objective * 1.5;
  out.name = name;
  return out;
}

Settings settings_for(int replicas) {
  Settings out;
  out.replica_count = replicas;
  out.classes = {request_class("read", 0.6, Idempotency::kIdempotent),
                 request_class("put", 1, Idempotency::kIdempotencyKey),
                 request_class("pay", 2, Idempotency::kNonIdempotent)};
  out.max_attempts = 3;
  out.can_cancel = true;
  out.max_retry_after = 2;
  return out;
}

// Settings for a reload: the classes and tenants of the same names in another order, with one more of each.
Settings replacement_of(Settings settings) {
  std::swap(settings.classes.front(), settings.classes.back());
  settings.classes.push_back(request_class("new", 0.8, Idempotency::kIdempotencyKey, DedupScope::kZone));
  if (!settings.tenants.empty()) {
    std::swap(settings.tenants.front(), settings.tenants.back());
    settings.tenants.push_back({5.0, "new tenant"});
  }
  settings.replica_count += 1;
  settings.max_attempts += 1;
  return settings;
}

// Normal load, overload, one failing server, all servers slow, one slow server, failures of all servers and
// of discovery, low load without discovery, overload of slow servers, normal load. The sequence runs twice.
std::vector<Phase> phases(double arrival_rate) {
  std::vector<Phase> out = {
      {.seconds = 15, .arrival_rate = arrival_rate},
      {.seconds = 5, .arrival_rate = arrival_rate * 4, .last_tenant_share = 0.6},
      {.seconds = 12, .arrival_rate = arrival_rate, .failure_rate = 0.02, .has_failing_server = true},
      {.seconds = 8, .arrival_rate = arrival_rate * 1.5, .slowdown = 3.5},
      {.seconds = 12, .arrival_rate = arrival_rate, .has_slow_server = true},
      {.seconds = 5, .arrival_rate = arrival_rate * 0.8, .failure_rate = 0.5, .discovery_fails = true},
      {.seconds = 20, .arrival_rate = arrival_rate * 0.4, .discovery_fails = true},
      {.seconds = 6, .arrival_rate = arrival_rate * 3, .slowdown = 1.6, .last_tenant_share = 0.2},
      {.seconds = 15, .arrival_rate = arrival_rate}};
  const std::vector<Phase> once = out;
  out.insert(out.end(), once.begin(), once.end());
  return out;
}

Scenario scenario_of(const std::string& name, std::uint64_t seed, const Settings& settings,
                     double arrival_rate) {
  Scenario out;
  out.name = name;
  out.seed = seed;
  out.settings = settings;
  out.replacement = replacement_of(settings);
  out.phases = phases(arrival_rate);
  return out;
}

Scenario single_replica() {
  Settings settings = settings_for(1);
  settings.tenants = {{40.0, "big"}, {20.0, "middle"}, {std::nullopt, "free"}, {1.0, "small"}};
  settings.over_quota_weight = 0.5;
  return scenario_of("single_replica", 11, settings, 90);
}

Scenario tenant_quotas() {
  Settings settings = settings_for(4);
  settings.tenants = {{30.0, "big"}, {20.0, "middle"}, {10.0, "small"}};
  settings.over_quota_weight = 0.3;
  settings.allow_hedging = true;
  Scenario out = scenario_of("tenant_quotas", 22, settings, 90);
  out.replicas = 4;
  return out;
}

Scenario deep_tier() {
  Settings settings = settings_for(3);
  settings.tier = 2;
  settings.clock_granularity = 0.01;
  settings.tenants = {{6.0, "big"}, {3.0, "small"}};
  settings.over_quota_weight = 0.4;
  settings.allow_hedging = true;
  settings.can_cancel = false;
  settings.max_retry_after = 0;
  settings.classes[1].late_value = 0.5;
  Scenario out = scenario_of("deep_tier", 33, settings, 90);
  out.replicas = 3;
  return out;
}

Scenario zone_costs() {
  Settings settings = settings_for(3);
  settings.cross_zone_cost = 0.01;
  settings.classes[0] = request_class("zone", 0.9, Idempotency::kIdempotencyKey, DedupScope::kZone);
  settings.classes[1] = request_class("cell", 0.9, Idempotency::kIdempotencyKey, DedupScope::kCell);
  Scenario out = scenario_of("zone_costs", 44, settings, 90);
  out.replicas = 3;
  out.servers = 12;
  out.zones = 3;
  out.cells = 4;
  out.slots = 2;
  return out;
}

Scenario slow_start() {
  Settings settings = settings_for(5);
  settings.initial_capacity = 0.1;
  settings.slow_start_duration = 12;
  settings.overload_threshold = 1.5;
  Scenario out = scenario_of("slow_start", 55, settings, 100);
  out.replicas = 5;
  out.servers = 20;
  out.restarts = true;
  out.change_every = 1.5;
  return out;
}

Scenario large_fleet() {
  Settings settings = settings_for(40);
  settings.tenants = {{200.0, "big"}, {30.0, "small"}};
  settings.over_quota_weight = 0.3;
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = 15;
  settings.cross_zone_cost = 0.004;
  Scenario out = scenario_of("large_fleet", 66, settings, 90);
  out.replacement.cross_zone_cost =
      0;  // no preferred zone: one ring, with warming servers as extra subset members
  out.replicas = 4;
  out.servers = 30;
  out.zones = 2;
  out.cells = 3;
  out.slots = 1;
  out.restarts = true;
  return out;
}

Scenario watched_discovery() {
  Settings settings = settings_for(2);
  settings.must_watch = true;
  settings.allow_hedging = true;
  Scenario out = scenario_of("watched_discovery", 77, settings, 90);
  out.replacement.notification_deadline = 3;
  out.replicas = 2;
  out.change_every = 1;
  return out;
}

Scenario late_answers() {
  Settings settings = settings_for(2);
  settings.classes[0] = request_class("read", 0.35, Idempotency::kIdempotent);
  settings.classes[1].late_value = 0.6;
  settings.classes[2].late_value = 0.3;
  settings.max_attempts = 4;
  settings.max_retry_after = 0;
  Scenario out = scenario_of("late_answers", 88, settings, 90);
  out.replicas = 2;
  out.service_time = 0.15;
  out.replacement.must_watch = true;
  return out;
}

// All servers become slow and recover repeatedly, so that the overload bound is learned often.
Scenario unsteady_servers() {
  Scenario out = scenario_of("unsteady_servers", 99, settings_for(1), 150);
  out.servers = 24;
  out.change_every = 4;
  out.phases.clear();
  for (int i = 0; i < 12; ++i) {
    out.phases.push_back({.seconds = 5, .arrival_rate = 200, .failure_rate = 0.03});
    out.phases.push_back(
        {.seconds = 5, .arrival_rate = 220, .slowdown = 2.5 + 0.2 * (i % 3), .failure_rate = 0.03});
  }
  return out;
}

// ---------------------------------------------------------------- the test

struct Expected {
  Scenario scenario;
  std::vector<std::uint64_t> checkpoints;
};

std::vector<Expected> expected() {
  return {
      {single_replica(), {0x0CD890B167731103, 0x2B06694F4AC8A87B, 0xA38FC54377ED43AC, 0x5E76445F3B1716E6}},
      {tenant_quotas(), {0x90BB3716601A8A5A, 0x7B4EA90E7C95D426, 0x0B1913C0A07F446B, 0x65D221C6BC01E4F5}},
      {deep_tier(), {0x2791263DC4B94DCC, 0xC083E0F71AFE6170, 0x0FB130412A31A436, 0x7AEE3F67698B3323}},
      {zone_costs(), {0xD825D29BC9B72499, 0x7FA5EF50DC8742B5, 0x689F85ACE8E14D2B, 0x1754F456FF61F15B}},
      {slow_start(), {0xDAF774B586CC1932, 0x235290E6FA9021E9, 0x1EFE580118BC5983, 0x0EDF6600CA758981}},
      {large_fleet(), {0x1F89CE59613D0096, 0xE5ABEF444D02424D, 0xE1449AA294F0E94A, 0xCC5E6B2C7D87F970}},
      {watched_discovery(), {0x531E63E5CE5CC88D, 0x8EF9AED383B3BA97, 0x948D08E223E5F37B, 0xA36FD1292D8066A8}},
      {unsteady_servers(), {0xEB7A87C8973C442A, 0x9682B3A7ADD3C662, 0x4197094E935467FD, 0xA2A56833F5F851F4}},
      {late_answers(), {0xF1ED4A14859F993B, 0x029EC0E33D01AC85, 0x3A3C538A13538BAD, 0x5C6BB8C010AED662}},
  };
}

// Prints a test parameter by the name of its scenario.
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const Expected& expected, std::ostream* out) { *out << expected.scenario.name; }

class DecisionDigest : public testing::TestWithParam<Expected> {};

std::string hex(std::uint64_t value) {
  std::array<char, 24> out{};
  std::snprintf(out.data(), out.size(), "0x%016llX", static_cast<unsigned long long>(value));
  return out.data();
}

void expect_coverage(const Scenario& scenario, const DecisionRecord& record) {
  EXPECT_GE(record.events(), 35000U);
  EXPECT_GT(record.count_of<StartAttempt>(), 1000U);
  EXPECT_GT(record.count_of<Reject>(), 100U);
  EXPECT_GT(record.count_of<Fail>(), 10U);
  EXPECT_EQ(record.count_of<CancelAttempt>() > 0, scenario.settings.can_cancel);
  const bool watches = scenario.settings.must_watch || scenario.replacement.must_watch;
  EXPECT_EQ(record.count_of<SetTimer>() > 0, watches);
  EXPECT_EQ(record.count_of<WatchMembership>() > 0, watches);
  for (std::size_t kind = 0; kind < record.event_kinds().size(); ++kind) {
    EXPECT_GT(record.event_kinds()[kind], 0U) << "events of kind " << kind;
  }
  for (std::size_t outcome = 0; outcome < record.outcomes().size(); ++outcome) {
    const bool possible =
        outcome != static_cast<std::size_t>(Outcome::kCancelled) || scenario.settings.can_cancel;
    EXPECT_EQ(record.outcomes()[outcome] > 0, possible) << "outcome " << outcome;
  }
  for (std::size_t form = 0; form < record.forms().size(); ++form) {
    EXPECT_GT(record.forms()[form], 0U) << "membership updates of form " << form;
  }
}

TEST_P(DecisionDigest, MatchesTheExpectedDigests) {
  const Scenario& scenario = GetParam().scenario;
  DecisionRecord record;
  EventStream stream(scenario, [&](double now, std::size_t replica, const Balancer& balancer,
                                   const Event& event, const std::vector<Action>& actions) {
    record.add_event(now, replica, balancer, event, actions);
  });
  stream.run();
  expect_coverage(scenario, record);
  const std::vector<std::uint64_t> actual = record.checkpoints();
  ASSERT_EQ(actual.size(), kCheckpoints);
  std::string text;
  for (const std::uint64_t value : actual) text += (text.empty() ? "" : ", ") + hex(value);
  for (std::size_t i = 0; i < kCheckpoints; ++i) {
    const std::uint64_t expected_digest = GetParam().checkpoints.at(i);
    ASSERT_EQ(hex(actual[i]), hex(expected_digest))
        << scenario.name << ": first differs at checkpoint " << i << "; " << record.events() << " events, "
        << record.actions() << " actions; all digests: " << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, DecisionDigest, testing::ValuesIn(expected()),
                         [](const auto& info) { return info.param.scenario.name; });

}  // namespace
}  // namespace nettleyoke::stream
