#include "report/json_report.h"

#include <array>
#include <cmath>
#include <cstdint>

#include "rapidjson/prettywriter.h"
#include "rapidjson/stringbuffer.h"
#include "report/summary.h"

namespace nettleyoke::lab {
namespace {

// Only these two tables map outcomes to their keys in the results.
struct CallOutcomeKey {
  CallOutcome outcome;
  const char* key;
};
constexpr std::array<CallOutcomeKey, 6> kCallOutcomeKeys{{{CallOutcome::kServed, "served"},
                                                          {CallOutcome::kRejected, "refused"},
                                                          {CallOutcome::kFailed, "failed"},
                                                          {CallOutcome::kConnectionClosed, "closed"},
                                                          {CallOutcome::kClientDisconnected, "left"},
                                                          {CallOutcome::kUnanswered, "lost"}}};
struct AttemptOutcomeKey {
  AttemptOutcome outcome;
  const char* key;
};
constexpr std::array<AttemptOutcomeKey, 6> kAttemptOutcomeKeys{{{AttemptOutcome::kServed, "served"},
                                                                {AttemptOutcome::kServerError, "errors"},
                                                                {AttemptOutcome::kRejected, "turned_away"},
                                                                {AttemptOutcome::kAbandoned, "given_up"},
                                                                {AttemptOutcome::kReset, "cut"},
                                                                {AttemptOutcome::kInFlight, "out"}}};

constexpr std::size_t kMaxNodesInJson = 100;  // with more nodes, the results contain only the groups

template <typename Key>
std::uint64_t count_of(const std::map<Key, std::size_t>& counts, Key key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

// Rounds to six decimal places, because further digits are not meaningful.
double rounded(double value) { return std::round(value * 1e6) / 1e6; }
double milliseconds(double seconds) { return std::round(seconds * 1e6) / 1e3; }

class JsonReport {
 public:
  JsonReport() : json_(buffer_) {
    json_.SetIndent(' ', 1);
    json_.SetFormatOptions(rapidjson::kFormatSingleLineArray);
  }

  std::string write(const Report& report) {
    json_.StartObject();
    write_head(report);
    write_list("groups", groups_of(report));
    write_list("nodes", report.nodes.size() <= kMaxNodesInJson ? report.nodes : std::vector<NodeResult>());
    write_list("servers", report.servers);
    json_.EndObject();
    return std::string(buffer_.GetString(), buffer_.GetSize()) + "\n";
  }

 private:
  void write_head(const Report& report) {
    put("experiment", report.experiment->name);
    put("title", report.experiment->title);
    put("seed", report.seed);
    put("seconds", report.seconds);
    put("good", report.passed());
    put("cut_off", report.interrupted);
    json_.Key("breaks");
    json_.StartObject();
    for (const auto& [rule, times] : report.violations) put(rule.c_str(), std::uint64_t{times});
    json_.EndObject();
    put("first_breaks", report.first_violations);
    put("worst_own_lateness_ms", milliseconds(report.worst_event_loop_delay));
    put("own_cpu_s", report.lab_cpu);
    put("own_memory_mb", report.lab_memory_mb);
    put("in_force", quantiles_of(report.propagation_times));
  }

  template <typename Result>
  void write_list(const char* name, const std::vector<Result>& results) {
    json_.Key(name);
    json_.StartArray();
    for (const Result& result : results) write_result(result);
    json_.EndArray();
  }

  void write_result(const NodeResult& node) {
    json_.StartObject();
    put("name", node.name);
    put("kind", node.kind);
    put("tier", static_cast<std::uint64_t>(node.tier));
    put("calls", std::uint64_t{node.calls});
    for (const auto& [outcome, key] : kCallOutcomeKeys) put(key, count_of(node.outcomes, outcome));
    put("attempts", std::uint64_t{node.attempts});
    put("added_at_once", node.added_latency_single_attempt);
    put("added", node.added_latency);
    put("watch_calls", std::uint64_t{node.watch_calls});
    put("whole_lists", std::uint64_t{node.full_lists});
    put("control_bytes_in", std::uint64_t{node.control_bytes_in});
    put("control_bytes_out", std::uint64_t{node.control_bytes_out});
    put("list_index", node.list_version);
    put("latest_index", node.latest_version);
    put("cpu_s", node.cpu);
    put("memory_mb", node.memory_mb);
    if (!node.stats.empty()) {
      json_.Key("stats");
      json_.RawValue(node.stats.data(), node.stats.size(), rapidjson::kObjectType);
    }
    json_.EndObject();
  }

  void write_result(const ServerResult& server) {
    json_.StartObject();
    put("name", server.name);
    write_list("changes", server.faults);
    for (const auto& [outcome, key] : kAttemptOutcomeKeys) put(key, count_of(server.attempts, outcome));
    json_.Key("attempts_by_second");
    json_.StartArray();
    for (const std::size_t attempts : server.attempts_by_second) json_.Uint64(attempts);
    json_.EndArray();
    put("given_up_after", server.abandoned_after);
    put("connections", std::uint64_t{server.connections});
    put("work_s", server.work);
    if (server.latest_attempt_after_notification >= 0) {
      put("latest_after_told_ms", milliseconds(server.latest_attempt_after_notification));
    }
    json_.EndObject();
  }

  void write_result(const ServerResult::InjectedFault& fault) {
    json_.StartObject();
    put("kind", fault.kind);
    put("at", fault.at);
    json_.EndObject();
  }

  void write_text(const std::string& value) {
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void put(const char* key, const std::string& value) {
    json_.Key(key);
    write_text(value);
  }
  void put(const char* key, double value) {
    json_.Key(key);
    json_.Double(rounded(value));
  }
  void put(const char* key, std::uint64_t value) {
    json_.Key(key);
    json_.Uint64(value);
  }
  void put(const char* key, bool value) {
    json_.Key(key);
    json_.Bool(value);
  }
  void put(const char* key, const std::vector<std::string>& values) {
    json_.Key(key);
    json_.StartArray();
    for (const std::string& value : values) write_text(value);
    json_.EndArray();
  }
  void put(const char* key, const Quantiles& quantiles) {
    json_.Key(key);
    json_.StartObject();
    put("count", std::uint64_t{quantiles.count});
    put("median_ms", milliseconds(quantiles.median));
    put("p99_ms", milliseconds(quantiles.p99));
    put("p999_ms", milliseconds(quantiles.p999));
    put("last_ms", milliseconds(quantiles.max));
    json_.EndObject();
  }

  rapidjson::StringBuffer buffer_;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> json_;
};

}  // namespace

std::string to_json(const Report& report) { return JsonReport().write(report); }

}  // namespace nettleyoke::lab
