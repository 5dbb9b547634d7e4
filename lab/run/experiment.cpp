#include "run/experiment.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <limits>
#include <optional>
#include <set>
#include <utility>

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::lab {
namespace {

// Bounds that keep an experiment within one machine.
constexpr double kLongest = 600, kFastest = 5000, kFar = 1e6;
constexpr int kMostNodes = 200, kMostHollowNodes = 1000, kMostServers = 1000, kMostTiers = 7;

constexpr std::array kKinds{
    std::pair{Change::Kind::kHang, "hang"},       std::pair{Change::Kind::kSlow, "slow"},
    std::pair{Change::Kind::kFail, "fail"},       std::pair{Change::Kind::kMend, "mend"},
    std::pair{Change::Kind::kCrash, "crash"},     std::pair{Change::Kind::kStart, "start"},
    std::pair{Change::Kind::kDrain, "drain"},     std::pair{Change::Kind::kRemove, "remove"},
    std::pair{Change::Kind::kSilence, "silence"}, std::pair{Change::Kind::kReset, "reset"},
    std::pair{Change::Kind::kStall, "stall"},     std::pair{Change::Kind::kLate, "late"},
    std::pair{Change::Kind::kCut, "cut"}};

// One table of the file. Each field is taken by name; what is left at the end is unknown.
class Table {
 public:
  Table(const std::string& file, std::string name, const toml::table& table)
      : file_(&file), name_(std::move(name)), table_(&table) {}

  [[noreturn]] void wrong(const std::string& field, const std::string& wanted) const {
    const toml::node* node = table_->get(field);
    fail(node != nullptr ? node->source() : table_->source(), field, wanted);
  }
  bool has(const char* field) const { return table_->contains(field); }

  double number(const char* field, std::optional<double> otherwise, double least, double most) {
    const toml::node* node = find(field, otherwise.has_value());
    if (node == nullptr) return *otherwise;
    const std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value || !(*value >= least && *value <= most)) {
      wrong(field, "a number from " + plain(least) + " to " + plain(most));
    }
    return *value;
  }
  int whole(const char* field, std::optional<int> otherwise, int least, int most) {
    const toml::node* node = find(field, otherwise.has_value());
    if (node == nullptr) return *otherwise;
    const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most) {
      wrong(field, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return static_cast<int>(*value);
  }
  bool flag(const char* field, bool otherwise) {
    const toml::node* node = find(field, true);
    if (node == nullptr) return otherwise;
    const std::optional<bool> value = node->value_exact<bool>();
    if (!value) wrong(field, "true or false");
    return *value;
  }
  std::string text(const char* field, const std::optional<std::string>& otherwise) {
    const toml::node* node = find(field, otherwise.has_value());
    if (node == nullptr) return *otherwise;
    const std::optional<std::string> value = node->value_exact<std::string>();
    if (!value || value->empty()) wrong(field, "a text");
    return *value;
  }
  // Names that may stand in a header and a path.
  std::string word(const char* field) {
    std::string out = text(field, std::nullopt);
    const bool good = std::all_of(
        out.begin(), out.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
    if (!good || out.size() > 64) wrong(field, "a word of letters, digits, - and _");
    return out;
  }
  std::vector<std::string> words(const char* field) {
    std::vector<std::string> out;
    const toml::node* node = find(field, true);
    if (node == nullptr) return out;
    if (!node->is_array()) wrong(field, "a list of words");
    for (const toml::node& item : *node->as_array()) {
      const std::optional<std::string> value = item.value_exact<std::string>();
      if (!value || value->empty()) wrong(field, "a list of words");
      out.push_back(*value);
    }
    return out;
  }
  Table table(const char* field, const toml::table& none) {
    const toml::node* node = find(field, true);
    if (node == nullptr) return {*file_, field, none};
    if (!node->is_table()) wrong(field, "a table");
    return {*file_, field, *node->as_table()};
  }
  std::vector<Table> tables(const char* field, bool needed) {
    std::vector<Table> out;
    const toml::node* node = find(field, !needed);
    if (node == nullptr) return out;
    if (!node->is_array()) wrong(field, "a list of tables ([[" + std::string(field) + "]])");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_table()) wrong(field, "a list of tables ([[" + std::string(field) + "]])");
      out.emplace_back(*file_, field, *item.as_table());
    }
    return out;
  }
  void end() const {
    for (const auto& [key, node] : *table_) {
      const std::string field(key.str());
      if (!taken_.contains(field)) fail(node.source(), field, "a field that is known here");
    }
  }

 private:
  static std::string plain(double number) {
    std::string out = std::to_string(number);
    out.erase(out.find_last_not_of('0') + 1);
    if (out.back() == '.') out.pop_back();
    return out;
  }
  const toml::node* find(const char* field, bool optional) {
    taken_.insert(field);
    const toml::node* node = table_->get(field);
    if (node == nullptr && !optional) fail(table_->source(), field, "there, and it is needed");
    return node;
  }
  [[noreturn]] void fail(const toml::source_region& where, const std::string& field,
                         const std::string& wanted) const {
    throw BadExperiment(*file_ + ":" + std::to_string(std::max<unsigned>(where.begin.line, 1)) + ": " +
                        (name_.empty() ? "" : name_ + ".") + field + " is not " + wanted);
  }

  const std::string* file_;
  std::string name_;
  const toml::table* table_;
  std::set<std::string> taken_;
};

std::string zone_of(Table& in, const std::vector<std::string>& zones, bool needed) {
  std::string zone = in.text("zone", needed ? std::nullopt : std::optional<std::string>(""));
  if (!zone.empty() && std::find(zones.begin(), zones.end(), zone) == zones.end()) {
    in.wrong("zone", "a zone of [nodes] zones");
  }
  return zone;
}

ClassPlan read_class(Table& in) {
  ClassPlan out;
  out.name = in.word("name");
  const std::string idempotency = in.text("effect", std::nullopt);
  if (idempotency == "keyed") {
    out.idempotency = Idempotency::kIdempotencyKey;
  } else if (idempotency == "unsafe") {
    out.idempotency = Idempotency::kNonIdempotent;
  } else if (idempotency != "safe") {
    in.wrong("effect", "safe, keyed or unsafe");
  }
  out.latency_objective = in.number("aim", std::nullopt, 0.001, kLongest);
  out.client_timeout = in.number("give_up", std::nullopt, out.latency_objective, 60);
  out.dedup_window = in.number("dedup_window", out.client_timeout, 0, kLongest);
  out.work = in.number("work_ms", std::nullopt, 0.001, 60000) / 1000;
  out.share = in.number("share", 1, 0.0001, kFar);
  in.end();
  return out;
}

ServersPlan read_servers(Table& in, const std::vector<std::string>& zones) {
  ServersPlan out;
  out.count = in.whole("count", std::nullopt, 1, kMostServers);
  out.tier = in.whole("tier", 0, 0, kMostTiers - 1);
  out.cores = in.whole("cores", 2, 1, 64);
  out.slots = in.whole("slots", 16, 1, 10000);
  out.room = in.whole("room", 32, 0, 10000);
  out.most_connections = in.whole("connections", 256, 1, 10000);
  out.server_idle_timeout = in.number("idle_close", 30, 0.05, kLongest);
  out.zones = in.words("zones");
  if (out.zones.empty()) out.zones = zones;
  for (const std::string& zone : out.zones) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
      in.wrong("zones", "zones of [nodes] zones");
  }
  in.end();
  return out;
}

CallersPlan read_callers(Table& in, const std::vector<std::string>& zones) {
  CallersPlan out;
  out.per_second = in.number("per_second", std::nullopt, 0.01, kFastest);
  out.from = in.number("from", 0, 0, kLongest);
  out.until = in.number("until", 0, 0, kLongest);
  out.retries = in.whole("retries", 0, 0, 10);
  out.retry_pause = in.number("retry_pause", 0.1, 0, 10);
  out.leave_share = in.number("leave_share", 0, 0, 1);
  out.zone = zone_of(in, zones, false);
  in.end();
  return out;
}

Change read_change(Table& in, const Experiment& experiment) {
  using Kind = Change::Kind;
  Change out;
  const std::string kind = in.text("kind", std::nullopt);
  const auto found =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const auto& known) { return kind == known.second; });
  if (found == kKinds.end()) {
    std::string all;
    for (const auto& known : kKinds) all += (all.empty() ? "" : ", ") + std::string(known.second);
    in.wrong("kind", "one of " + all);
  }
  out.kind = found->first;
  out.at = in.number("at", std::nullopt, 0, experiment.seconds);
  if (out.kind <= Kind::kRemove) {
    out.server = in.text("server", std::nullopt);
    int tier = 0;
    for (; tier < experiment.tiers(); ++tier) {
      const std::vector<std::string> names = experiment.names_of_servers(tier);
      if (std::find(names.begin(), names.end(), out.server) != names.end()) break;
    }
    if (tier == experiment.tiers()) in.wrong("server", "a server (s0, s1 ..., in tier 1 t1-s0 ...)");
    const bool ends = out.kind == Kind::kCrash || out.kind == Kind::kStart;
    if (ends && tier + 1 < experiment.tiers())
      in.wrong("server", "one of the last tier, with no node beside it");
  }
  if (out.kind == Kind::kSlow) out.factor = in.number("factor", std::nullopt, 0.001, 1);
  if (out.kind == Kind::kSilence || out.kind == Kind::kLate || out.kind == Kind::kCut) {
    out.seconds = in.number("seconds", std::nullopt, 0, kLongest);
  }
  if (out.kind == Kind::kCut) out.zone = zone_of(in, experiment.zones, true);
  in.end();
  return out;
}

void read_settings(Table in, Experiment& out) {
  out.max_attempts = in.whole("max_attempts", 3, 1, 20);
  out.allow_hedging = in.flag("second_copies", false);
  out.cancel = in.flag("cancel", true);
  out.must_watch = in.flag("must_watch", false);
  out.max_retry_after = in.number("max_retry_after", 2, 0, 60);
  out.connect_timeout = in.number("dial_timeout", 0.25, 0.01, 10);
  out.server_idle_timeout = in.number("idle_close", 30, 0.05, kLongest);
  out.initial_capacity = in.number("start_capacity", 0.4, 0.01, 1);
  out.slow_start_duration = in.number("ramp_time", 3, 0, kLongest);
  out.drain_grace = in.number("drain_grace", 0.5, 0, 60);
  out.answer_slack = in.number("answer_slack", 0.5, 0, 60);
  in.end();
}

Experiment read(const std::string& path, const toml::table& file) {
  const toml::table none;
  Experiment out;
  Table in(path, "", file);
  out.name = std::filesystem::path(path).stem().string();
  out.title = in.text("title", out.name);
  out.seed = static_cast<std::uint64_t>(in.whole("seed", 1, 0, std::numeric_limits<int>::max()));
  out.seconds = in.number("seconds", std::nullopt, 0.1, kLongest);
  Table nodes = in.table("nodes", none);
  out.nodes = nodes.whole("count", 1, 0, kMostNodes);
  out.hollow_nodes = nodes.whole("hollow", 0, 0, kMostHollowNodes);
  if (out.nodes + out.hollow_nodes == 0) nodes.wrong("count", "at least 1, where hollow is 0");
  out.memory_mb = nodes.whole("memory_mb", 192, 8, 2048);
  out.sockets = nodes.whole("sockets", 512, 64, 4096);
  out.zones = nodes.words("zones");
  if (out.zones.empty()) out.zones = {"a"};
  nodes.end();
  read_settings(in.table("settings", none), out);
  for (Table& item : in.tables("class", true)) out.classes.push_back(read_class(item));
  if (out.classes.empty()) in.wrong("class", "at least one");
  for (Table& item : in.tables("tenant", false)) {
    TenantPlan tenant;
    tenant.name = item.word("name");
    tenant.share = item.number("share", 1, 0.0001, kFar);
    tenant.quota = item.number("allowance", 0, 0, kFar);
    item.end();
    out.tenants.push_back(tenant);
  }
  std::set<int> tiers;
  for (Table& item : in.tables("servers", true)) {
    out.servers.push_back(read_servers(item, out.zones));
    tiers.insert(out.servers.back().tier);
  }
  if (tiers.empty() || *tiers.rbegin() + 1 != static_cast<int>(tiers.size())) {
    in.wrong("servers", "servers of tier 0, 1 ... with no tier left out");
  }
  // Beside servers stand real nodes, and a hollow one's calls come by no connection that could wait for them.
  if (out.hollow_nodes > 0 && out.tiers() > 1) in.wrong("servers", "of one tier, as hollow nodes need");
  for (Table& item : in.tables("callers", true)) out.callers.push_back(read_callers(item, out.zones));
  for (Table& item : in.tables("change", false)) out.changes.push_back(read_change(item, out));
  std::stable_sort(out.changes.begin(), out.changes.end(),
                   [](const Change& a, const Change& b) { return a.at < b.at; });
  in.end();
  return out;
}

}  // namespace

const char* name_of(Change::Kind kind) {
  for (const auto& known : kKinds) {
    if (known.first == kind) return known.second;
  }
  return "unknown";
}

int Experiment::tiers() const {
  int out = 0;
  for (const ServersPlan& plan : servers) out = std::max(out, plan.tier + 1);
  return out;
}

std::vector<std::string> Experiment::names_of_servers(int tier) const {
  std::vector<std::string> out;
  const std::string before = tier == 0 ? "s" : "t" + std::to_string(tier) + "-s";
  for (const ServersPlan& plan : servers) {
    for (int i = 0; plan.tier == tier && i < plan.count; ++i)
      out.push_back(before + std::to_string(out.size()));
  }
  return out;
}

Experiment read_experiment(const std::string& path) {
  try {
    return read(path, toml::parse_file(path));
  } catch (const toml::parse_error& problem) {
    throw BadExperiment(path + ":" + std::to_string(std::max<unsigned>(problem.source().begin.line, 1)) +
                        ": " + std::string(problem.description()));
  }
}

std::string settings_json(const Experiment& experiment, int tier, const std::string& zone, int position,
                          int count) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  const auto text = [&json](const char* field, const std::string& value) {
    json.Key(field);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto number = [&json](const char* field, double value) {
    json.Key(field);
    json.Double(value);
  };
  const auto whole = [&json](const char* field, int value) {
    json.Key(field);
    json.Int(value);
  };
  const auto flag = [&json](const char* field, bool value) {
    json.Key(field);
    json.Bool(value);
  };
  json.StartObject();
  json.Key("azs");
  json.StartArray();
  for (const std::string& name : experiment.zones) json.String(name.c_str());
  json.EndArray();
  json.Key("bounds");
  json.StartObject();
  flag("cancel", experiment.cancel);
  whole("maxAttempts", experiment.max_attempts);
  number("maxRetryAfter", experiment.max_retry_after);
  flag("retryAfter", experiment.max_retry_after > 0);
  flag("secondCopies", experiment.allow_hedging);
  number("dialTimeout", experiment.connect_timeout);
  number("idleClose", experiment.server_idle_timeout);
  json.EndObject();
  json.Key("categories");
  json.StartArray();
  for (const ClassPlan& plan : experiment.classes) {
    json.StartObject();
    text("name", plan.name);
    number("aim", plan.latency_objective);
    number("giveUp", plan.client_timeout);
    number("lateWorth", 0.5);
    text("effect", plan.idempotency == Idempotency::kIdempotent       ? "safe"
                   : plan.idempotency == Idempotency::kIdempotencyKey ? "keyed"
                                                                      : "unsafe");
    if (plan.idempotency == Idempotency::kIdempotencyKey) {
      text("group", "all");
      number("dedupWindow", plan.dedup_window);
    }
    json.EndObject();
  }
  json.EndArray();
  json.Key("realms");
  json.StartArray();
  for (const TenantPlan& plan : experiment.tenants) {
    json.StartObject();
    text("name", plan.name);
    number("share", plan.share);
    if (plan.quota > 0) number("allowancePerS", plan.quota);
    json.EndObject();
  }
  json.EndArray();
  number("granularity", 0.005);
  whole("peersTotal", count);
  whole("position", position);
  text("registryMode", experiment.must_watch ? "subscribe" : "automatic");
  json.Key("rules");
  json.StartObject();
  number("answerSlack", 0.02);
  number("askWithin", 10);
  number("drainGrace", experiment.drain_grace);
  number("rampTime", experiment.slow_start_duration);
  number("startCapacity", experiment.initial_capacity);
  json.EndObject();
  whole("stage", tier);
  const auto at = std::find(experiment.zones.begin(), experiment.zones.end(), zone);
  whole("zone", static_cast<int>(at - experiment.zones.begin()));
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettleyoke::lab
