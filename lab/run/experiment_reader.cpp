#include "run/experiment_reader.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <set>

#include "run/toml_table.h"

namespace nettleyoke::lab {
namespace {

using Presence = TomlTable::Presence;

// Bounds that keep an experiment within one machine.
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

bool contains(const std::vector<std::string>& words, const std::string& word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

std::string read_zone(TomlTable& in, const std::vector<std::string>& zones, Presence presence) {
  const auto fallback = presence == Presence::kNeeded ? std::nullopt : std::optional<std::string>("");
  std::string zone = in.text("zone", fallback);
  if (!zone.empty() && !contains(zones, zone)) in.reject("zone", "a zone of [nodes] zones");
  return zone;
}

NodesSpec read_nodes(TomlTable in) {
  NodesSpec nodes;
  nodes.real_count = in.whole("count", 1, 0, kMaxNodes);
  nodes.hollow_count = in.whole("hollow", 0, 0, kMaxHollowNodes);
  if (nodes.count() == 0) in.reject("count", "at least 1, where hollow is 0");
  nodes.memory_mb = in.whole("memory_mb", 192, 8, 2048);
  nodes.descriptors = in.whole("sockets", 512, 64, 4096);
  nodes.zones = in.texts("zones");
  if (nodes.zones.empty()) nodes.zones = {"a"};
  in.reject_unknown_fields();
  return nodes;
}

SettingsSpec read_settings(TomlTable in) {
  SettingsSpec settings;
  settings.max_attempts = in.whole("max_attempts", 3, 1, 20);
  settings.allow_hedging = in.flag("second_copies", false);
  settings.cancel = in.flag("cancel", true);
  settings.must_watch = in.flag("must_watch", false);
  settings.max_retry_after = in.number("max_retry_after", 2, 0, 60);
  settings.connect_timeout = in.number("dial_timeout", 0.25, 0.01, 10);
  settings.server_idle_timeout = in.number("idle_close", 30, 0.05, kMaxSeconds);
  settings.initial_capacity = in.number("start_capacity", 0.4, 0.01, 1);
  settings.slow_start_duration = in.number("ramp_time", 3, 0, kMaxSeconds);
  settings.drain_grace = in.number("drain_grace", 0.5, 0, 60);
  settings.answer_slack = in.number("answer_slack", 0.5, 0, 60);
  in.reject_unknown_fields();
  return settings;
}

Idempotency read_idempotency(TomlTable& in) {
  const std::string word = in.text("effect", std::nullopt);
  if (word == "safe") return Idempotency::kIdempotent;
  if (word == "keyed") return Idempotency::kIdempotencyKey;
  if (word == "unsafe") return Idempotency::kNonIdempotent;
  in.reject("effect", "safe, keyed or unsafe");
}

ClassSpec read_class(TomlTable& in) {
  ClassSpec spec;
  spec.name = in.word("name");
  spec.idempotency = read_idempotency(in);
  spec.latency_objective = in.number("aim", std::nullopt, 0.001, kMaxSeconds);
  spec.client_timeout = in.number("give_up", std::nullopt, spec.latency_objective, kMaxClientTimeoutSeconds);
  spec.dedup_window = in.number("dedup_window", spec.client_timeout, 0, kMaxSeconds);
  spec.work = in.number("work_ms", std::nullopt, 0.001, kMaxWorkMilliseconds) / 1000;
  spec.share = in.number("share", 1, kMinShare, kMaxShare);
  in.reject_unknown_fields();
  return spec;
}

TenantSpec read_tenant(TomlTable& in) {
  TenantSpec spec;
  spec.name = in.word("name");
  spec.share = in.number("share", 1, kMinShare, kMaxShare);
  spec.quota = in.number("allowance", 0, 0, kMaxShare);
  in.reject_unknown_fields();
  return spec;
}

ServerGroupSpec read_server_group(TomlTable& in, const std::vector<std::string>& zones) {
  ServerGroupSpec spec;
  spec.count = in.whole("count", std::nullopt, 1, kMaxServers);
  spec.tier = in.whole("tier", 0, 0, kMaxTiers - 1);
  spec.cores = in.whole("cores", 2, 1, 64);
  spec.slots = in.whole("slots", 16, 1, kMaxSlots);
  spec.queue_limit = in.whole("room", 32, 0, kMaxSlots);
  spec.connection_limit = in.whole("connections", 256, 1, kMaxSlots);
  spec.idle_timeout = in.number("idle_close", 30, 0.05, kMaxSeconds);
  spec.zones = in.texts("zones");
  if (spec.zones.empty()) spec.zones = zones;
  for (const std::string& zone : spec.zones) {
    if (!contains(zones, zone)) in.reject("zones", "zones of [nodes] zones");
  }
  in.reject_unknown_fields();
  return spec;
}

void read_server_groups(TomlTable& in, Experiment& experiment) {
  std::set<int> tiers;
  for (TomlTable& item : in.tables("servers", Presence::kNeeded)) {
    experiment.servers.push_back(read_server_group(item, experiment.nodes.zones));
    tiers.insert(experiment.servers.back().tier);
  }
  if (tiers.empty() || *tiers.rbegin() + 1 != static_cast<int>(tiers.size())) {
    in.reject("servers", "servers of tier 0, 1 ... with no tier left out");
  }
  // Beside servers stand real nodes, and a hollow one's calls come by no connection that could wait for them.
  if (experiment.nodes.hollow_count > 0 && experiment.tier_count() > 1) {
    in.reject("servers", "of one tier, as hollow nodes need");
  }
}

LoadSpec read_load(TomlTable& in, const std::vector<std::string>& zones) {
  LoadSpec spec;
  spec.per_second = in.number("per_second", std::nullopt, 0.01, kMaxCallsPerSecond);
  spec.from = in.number("from", 0, 0, kMaxSeconds);
  spec.until = in.number("until", 0, 0, kMaxSeconds);
  spec.retries = in.whole("retries", 0, 0, 10);
  spec.retry_pause = in.number("retry_pause", 0.1, 0, 10);
  spec.disconnect_share = in.number("leave_share", 0, 0, 1);
  spec.zone = read_zone(in, zones, Presence::kOptional);
  in.reject_unknown_fields();
  return spec;
}

std::string read_fault_target(TomlTable& in, FaultInjection::Kind kind, const Experiment& experiment) {
  std::string server = in.text("server", std::nullopt);
  const std::optional<int> tier = experiment.tier_of(server);
  if (!tier) in.reject("server", "a server (s0, s1 ..., in tier 1 t1-s0 ...)");
  const bool ends_process = kind == FaultInjection::Kind::kCrash || kind == FaultInjection::Kind::kStart;
  if (ends_process && *tier + 1 < experiment.tier_count()) {
    in.reject("server", "one of the last tier, with no node beside it");
  }
  return server;
}

FaultInjection read_fault(TomlTable& in, const Experiment& experiment) {
  FaultInjection fault;
  const std::optional<FaultInjection::Kind> kind = fault_kind_for(in.text("kind", std::nullopt));
  if (!kind) in.reject("kind", "one of " + fault_words());
  fault.kind = *kind;
  fault.at = in.number("at", std::nullopt, 0, experiment.seconds);
  if (targets_server(fault.kind)) fault.server = read_fault_target(in, fault.kind, experiment);
  if (fault.kind == FaultInjection::Kind::kSlow) fault.factor = in.number("factor", std::nullopt, 0.001, 1);
  if (has_duration(fault.kind)) fault.seconds = in.number("seconds", std::nullopt, 0, kMaxSeconds);
  if (fault.kind == FaultInjection::Kind::kPartition) {
    fault.zone = read_zone(in, experiment.nodes.zones, Presence::kNeeded);
  }
  in.reject_unknown_fields();
  return fault;
}

void read_faults(TomlTable& in, Experiment& experiment) {
  for (TomlTable& item : in.tables("change", Presence::kOptional)) {
    experiment.faults.push_back(read_fault(item, experiment));
  }
  std::stable_sort(
      experiment.faults.begin(), experiment.faults.end(),
      [](const FaultInjection& left, const FaultInjection& right) { return left.at < right.at; });
}

Experiment read_file(const std::string& path, const toml::table& file) {
  Experiment experiment;
  TomlTable in(path, "", file);
  experiment.name = std::filesystem::path(path).stem().string();
  experiment.title = in.text("title", experiment.name);
  experiment.seed = static_cast<std::uint64_t>(in.whole("seed", 1, 0, std::numeric_limits<int>::max()));
  experiment.seconds = in.number("seconds", std::nullopt, 0.1, kMaxSeconds);
  experiment.nodes = read_nodes(in.table("nodes"));
  experiment.settings = read_settings(in.table("settings"));
  for (TomlTable& item : in.tables("class", Presence::kNeeded)) {
    experiment.classes.push_back(read_class(item));
  }
  if (experiment.classes.empty()) in.reject("class", "at least one");
  for (TomlTable& item : in.tables("tenant", Presence::kOptional)) {
    experiment.tenants.push_back(read_tenant(item));
  }
  read_server_groups(in, experiment);
  for (TomlTable& item : in.tables("callers", Presence::kNeeded)) {
    experiment.loads.push_back(read_load(item, experiment.nodes.zones));
  }
  read_faults(in, experiment);
  in.reject_unknown_fields();
  return experiment;
}

}  // namespace

ExperimentError::ExperimentError(const std::string& file, std::uint32_t line, const std::string& problem)
    : std::runtime_error(file + ":" + std::to_string(std::max<std::uint32_t>(line, 1)) + ": " + problem) {}

Experiment read_experiment(const std::string& path) {
  try {
    return read_file(path, toml::parse_file(path));
  } catch (const toml::parse_error& problem) {
    throw ExperimentError(path, problem.source().begin.line, std::string(problem.description()));
  }
}

}  // namespace nettleyoke::lab
