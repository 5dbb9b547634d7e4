#include "run/experiment_reader.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <set>

#include "run/toml_table.h"

namespace nettleyoke::lab {
namespace {

using Presence = TomlTable::Presence;

// Limits that keep an experiment on one machine.
constexpr double kMaxSeconds = 600;
constexpr double kMaxClientTimeoutSeconds = 60;
constexpr double kMaxWorkMilliseconds = 60000;
constexpr double kMaxCallsPerSecond = 5000;
constexpr double kMinShare = 0.0001;
constexpr double kMaxShare = 1e6;
constexpr int kMaxNodes = 200;
constexpr int kMaxHollowNodes = 1000;
constexpr int kMaxServers = 1000;
constexpr int kMaxTiers = 7;
constexpr int kMaxSlots = 10000;

bool contains(const std::vector<std::string>& values, const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

std::string read_zone(TomlTable& table, const std::vector<std::string>& zones, Presence presence) {
  const auto fallback = presence == Presence::kRequired ? std::nullopt : std::optional<std::string>("");
  std::string zone = table.string("zone", fallback);
  if (!zone.empty() && !contains(zones, zone)) table.reject("zone", "one of the zones in nodes.zones");
  return zone;
}

NodesSpec read_nodes(TomlTable table) {
  NodesSpec nodes;
  nodes.real_count = table.integer("count", 1, 0, kMaxNodes);
  nodes.hollow_count = table.integer("hollow", 0, 0, kMaxHollowNodes);
  if (nodes.count() == 0) table.reject("count", "at least 1 when nodes.hollow is 0");
  nodes.memory_mb = table.integer("memory_mb", 192, 8, 2048);
  nodes.descriptors = table.integer("sockets", 512, 64, 4096);
  nodes.zones = table.strings("zones");
  if (nodes.zones.empty()) nodes.zones = {"a"};
  table.reject_unknown_fields();
  return nodes;
}

SettingsSpec read_settings(TomlTable table) {
  SettingsSpec settings;
  settings.max_attempts = table.integer("max_attempts", 3, 1, 20);
  settings.allow_hedging = table.boolean("second_copies", false);
  settings.cancel = table.boolean("cancel", true);
  settings.must_watch = table.boolean("must_watch", false);
  settings.max_retry_after = table.number("max_retry_after", 2, 0, 60);
  settings.connect_timeout = table.number("dial_timeout", 0.25, 0.01, 10);
  settings.server_idle_timeout = table.number("idle_close", 30, 0.05, kMaxSeconds);
  settings.initial_capacity = table.number("start_capacity", 0.4, 0.01, 1);
  settings.slow_start_duration = table.number("ramp_time", 3, 0, kMaxSeconds);
  settings.drain_grace = table.number("drain_grace", 0.5, 0, 60);
  settings.answer_slack = table.number("answer_slack", 0.5, 0, 60);
  table.reject_unknown_fields();
  return settings;
}

Idempotency read_idempotency(TomlTable& table) {
  const std::string effect = table.string("effect", std::nullopt);
  if (effect == "safe") return Idempotency::kIdempotent;
  if (effect == "keyed") return Idempotency::kIdempotencyKey;
  if (effect == "unsafe") return Idempotency::kNonIdempotent;
  table.reject("effect", R"("safe", "keyed" or "unsafe")");
}

ClassSpec read_class(TomlTable& table) {
  ClassSpec spec;
  spec.name = table.identifier("name");
  spec.idempotency = read_idempotency(table);
  spec.latency_objective = table.number("aim", std::nullopt, 0.001, kMaxSeconds);
  spec.client_timeout =
      table.number("give_up", std::nullopt, spec.latency_objective, kMaxClientTimeoutSeconds);
  spec.dedup_window = table.number("dedup_window", spec.client_timeout, 0, kMaxSeconds);
  spec.work = table.number("work_ms", std::nullopt, 0.001, kMaxWorkMilliseconds) / 1000;
  spec.share = table.number("share", 1, kMinShare, kMaxShare);
  table.reject_unknown_fields();
  return spec;
}

TenantSpec read_tenant(TomlTable& table) {
  TenantSpec spec;
  spec.name = table.identifier("name");
  spec.share = table.number("share", 1, kMinShare, kMaxShare);
  spec.quota = table.number("allowance", 0, 0, kMaxShare);
  table.reject_unknown_fields();
  return spec;
}

ServerGroupSpec read_server_group(TomlTable& table, const std::vector<std::string>& zones) {
  ServerGroupSpec spec;
  spec.count = table.integer("count", std::nullopt, 1, kMaxServers);
  spec.tier = table.integer("tier", 0, 0, kMaxTiers - 1);
  spec.cores = table.integer("cores", 2, 1, 64);
  spec.slots = table.integer("slots", 16, 1, kMaxSlots);
  spec.queue_limit = table.integer("room", 32, 0, kMaxSlots);
  spec.connection_limit = table.integer("connections", 256, 1, kMaxSlots);
  spec.idle_timeout = table.number("idle_close", 30, 0.05, kMaxSeconds);
  spec.zones = table.strings("zones");
  if (spec.zones.empty()) spec.zones = zones;
  for (const std::string& zone : spec.zones) {
    if (!contains(zones, zone)) table.reject("zones", "a list of zones from nodes.zones");
  }
  table.reject_unknown_fields();
  return spec;
}

void read_server_groups(TomlTable& table, Experiment& experiment) {
  std::set<int> tiers;
  for (TomlTable& entry : table.tables("servers", Presence::kRequired)) {
    experiment.servers.push_back(read_server_group(entry, experiment.nodes.zones));
    tiers.insert(experiment.servers.back().tier);
  }
  if (tiers.empty() || *tiers.rbegin() + 1 != static_cast<int>(tiers.size())) {
    table.reject("servers", "in consecutive tiers that start at 0");
  }
  // A server calls the next tier, through a real node of that tier, while the node that sent the request
  // keeps its connection to the server open. Hollow nodes have no connections to servers.
  if (experiment.nodes.hollow_count > 0 && experiment.tier_count() > 1) {
    table.reject("servers", "in a single tier (tier = 0) when nodes.hollow is above 0");
  }
}

LoadSpec read_load(TomlTable& table, const std::vector<std::string>& zones) {
  LoadSpec spec;
  spec.per_second = table.number("per_second", std::nullopt, 0.01, kMaxCallsPerSecond);
  spec.from = table.number("from", 0, 0, kMaxSeconds);
  spec.until = table.number("until", 0, 0, kMaxSeconds);
  spec.retries = table.integer("retries", 0, 0, 10);
  spec.retry_pause = table.number("retry_pause", 0.1, 0, 10);
  spec.disconnect_share = table.number("leave_share", 0, 0, 1);
  spec.zone = read_zone(table, zones, Presence::kOptional);
  table.reject_unknown_fields();
  return spec;
}

std::string read_fault_target(TomlTable& table, FaultInjection::Kind kind, const Experiment& experiment) {
  std::string server = table.string("server", std::nullopt);
  const std::optional<int> tier = experiment.tier_of(server);
  if (!tier) {
    table.reject("server", "the name of a server (s0, s1 ... in tier 0; t1-s0, t1-s1 ... in tier 1)");
  }
  const bool crashes_or_starts = kind == FaultInjection::Kind::kCrash || kind == FaultInjection::Kind::kStart;
  if (crashes_or_starts && *tier + 1 < experiment.tier_count()) {
    table.reject("server",
                 "a server of the last tier for crash and start, because the lab cannot stop the node that "
                 "every other server uses to call the next tier");
  }
  return server;
}

FaultInjection read_fault(TomlTable& table, const Experiment& experiment) {
  FaultInjection fault;
  const std::optional<FaultInjection::Kind> kind = fault_kind_from_name(table.string("kind", std::nullopt));
  if (!kind) table.reject("kind", "one of " + fault_kind_names());
  fault.kind = *kind;
  fault.at = table.number("at", std::nullopt, 0, experiment.seconds);
  if (targets_server(fault.kind)) fault.server = read_fault_target(table, fault.kind, experiment);
  if (fault.kind == FaultInjection::Kind::kSlow) {
    fault.factor = table.number("factor", std::nullopt, 0.001, 1);
  }
  if (has_duration(fault.kind)) fault.seconds = table.number("seconds", std::nullopt, 0, kMaxSeconds);
  if (fault.kind == FaultInjection::Kind::kPartition) {
    fault.zone = read_zone(table, experiment.nodes.zones, Presence::kRequired);
  }
  table.reject_unknown_fields();
  return fault;
}

void read_faults(TomlTable& table, Experiment& experiment) {
  for (TomlTable& entry : table.tables("change", Presence::kOptional)) {
    experiment.faults.push_back(read_fault(entry, experiment));
  }
  std::stable_sort(
      experiment.faults.begin(), experiment.faults.end(),
      [](const FaultInjection& left, const FaultInjection& right) { return left.at < right.at; });
}

Experiment read_file(const std::string& path, const toml::table& file) {
  Experiment experiment;
  TomlTable table(path, "", file);
  experiment.name = std::filesystem::path(path).stem().string();
  experiment.title = table.string("title", experiment.name);
  experiment.seed = static_cast<std::uint64_t>(table.integer("seed", 1, 0, std::numeric_limits<int>::max()));
  experiment.seconds = table.number("seconds", std::nullopt, 0.1, kMaxSeconds);
  experiment.nodes = read_nodes(table.subtable("nodes"));
  experiment.settings = read_settings(table.subtable("settings"));
  for (TomlTable& entry : table.tables("class", Presence::kRequired)) {
    experiment.classes.push_back(read_class(entry));
  }
  if (experiment.classes.empty()) table.reject("class", "an array of at least one table ([[class]])");
  for (TomlTable& entry : table.tables("tenant", Presence::kOptional)) {
    experiment.tenants.push_back(read_tenant(entry));
  }
  read_server_groups(table, experiment);
  for (TomlTable& entry : table.tables("callers", Presence::kRequired)) {
    experiment.loads.push_back(read_load(entry, experiment.nodes.zones));
  }
  read_faults(table, experiment);
  table.reject_unknown_fields();
  return experiment;
}

}  // namespace

ExperimentError::ExperimentError(const std::string& file, std::uint32_t line, const std::string& problem)
    : std::runtime_error(file + ":" + std::to_string(std::max<std::uint32_t>(line, 1)) + ": " + problem) {}

Experiment read_experiment(const std::string& path) {
  try {
    return read_file(path, toml::parse_file(path));
  } catch (const toml::parse_error& error) {
    throw ExperimentError(path, error.source().begin.line, std::string(error.description()));
  }
}

}  // namespace nettleyoke::lab
