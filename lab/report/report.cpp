#include "report/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <numeric>
#include <utility>

#include "rapidjson/document.h"
#include "rapidjson/prettywriter.h"
#include "rapidjson/stringbuffer.h"
#include "settings_reader.h"

namespace nettleyoke::lab {
namespace {

using Writer = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

constexpr std::array kEndings{std::pair{Ending::kServed, "served"}, std::pair{Ending::kRefused, "refused"},
                              std::pair{Ending::kFailed, "failed"}, std::pair{Ending::kClosed, "closed"},
                              std::pair{Ending::kLeft, "left"},     std::pair{Ending::kLost, "lost"}};
constexpr std::array kAttemptEnds{std::pair{AttemptEnd::kServed, "served"},
                                  std::pair{AttemptEnd::kError, "errors"},
                                  std::pair{AttemptEnd::kTurnedAway, "turned_away"},
                                  std::pair{AttemptEnd::kGivenUp, "given_up"},
                                  std::pair{AttemptEnd::kCut, "cut"},
                                  std::pair{AttemptEnd::kOut, "out"}};

constexpr std::size_t kMostInJson = 100;  // nodes; of more the results have the groups alone

template <typename Key>
std::size_t count(const std::map<Key, std::size_t>& counts, Key key) {
  const auto at = counts.find(key);
  return at == counts.end() ? 0 : at->second;
}

// Fractions of no use are cut off.
double rounded(double value) { return std::round(value * 1e6) / 1e6; }
double milliseconds(double seconds) { return std::round(seconds * 1e6) / 1e3; }

__attribute__((format(printf, 2, 3))) void print(std::string& out, const char* format, ...) {
  std::array<char, 512> line{};
  va_list values;
  va_start(values, format);
  std::vsnprintf(line.data(), line.size(), format, values);
  va_end(values);
  out += line.data();
}

class Json {
 public:
  Json() : writer_(buffer_) {
    writer_.SetIndent(' ', 1);
    writer_.SetFormatOptions(rapidjson::kFormatSingleLineArray);
  }
  Writer& writer() { return writer_; }
  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }
  void key(const char* name) { writer_.Key(name); }
  void put(const char* name, const std::string& value) {
    key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void put(const char* name, double value) {
    key(name);
    writer_.Double(rounded(value));
  }
  void put(const char* name, std::uint64_t value) {
    key(name);
    writer_.Uint64(value);
  }
  void put(const char* name, bool value) {
    key(name);
    writer_.Bool(value);
  }
  void put(const char* name, const std::vector<std::string>& values) {
    key(name);
    writer_.StartArray();
    for (const std::string& value : values) {
      writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    }
    writer_.EndArray();
  }
  void put(const char* name, const Spread& spread) {
    key(name);
    writer_.StartObject();
    put("count", std::uint64_t{spread.count});
    put("median_ms", milliseconds(spread.median));
    put("p99_ms", milliseconds(spread.p99));
    put("p999_ms", milliseconds(spread.p999));
    put("last_ms", milliseconds(spread.last));
    writer_.EndObject();
  }

 private:
  rapidjson::StringBuffer buffer_;
  Writer writer_;
};

void write(Json& json, const NodeResult& node) {
  json.writer().StartObject();
  json.put("name", node.name);
  json.put("kind", node.kind);
  json.put("tier", static_cast<std::uint64_t>(node.tier));
  json.put("calls", std::uint64_t{node.calls});
  for (const auto& [ending, name] : kEndings) json.put(name, std::uint64_t{count(node.endings, ending)});
  json.put("attempts", std::uint64_t{node.attempts});
  json.put("added_at_once", node.added_at_once);
  json.put("added", node.added);
  json.put("watch_calls", std::uint64_t{node.watch_calls});
  json.put("whole_lists", std::uint64_t{node.whole_lists});
  json.put("control_bytes_in", std::uint64_t{node.control_bytes_in});
  json.put("control_bytes_out", std::uint64_t{node.control_bytes_out});
  json.put("list_index", node.list_index);
  json.put("latest_index", node.latest_index);
  json.put("cpu_s", node.cpu);
  json.put("memory_mb", node.memory_mb);
  if (!node.stats.empty()) {
    json.key("stats");
    json.writer().RawValue(node.stats.data(), node.stats.size(), rapidjson::kObjectType);
  }
  json.writer().EndObject();
}

void write(Json& json, const ServerResult& server) {
  json.writer().StartObject();
  json.put("name", server.name);
  json.key("changes");
  json.writer().StartArray();
  for (const ServerResult::Done& change : server.changes) {
    json.writer().StartObject();
    json.put("kind", change.kind);
    json.put("at", change.at);
    json.writer().EndObject();
  }
  json.writer().EndArray();
  for (const auto& [how, name] : kAttemptEnds) json.put(name, std::uint64_t{count(server.attempts, how)});
  json.key("attempts_by_second");
  json.writer().StartArray();
  for (const std::size_t attempts : server.by_second) json.writer().Uint64(attempts);
  json.writer().EndArray();
  json.put("given_up_after", server.given_up_after);
  json.put("connections", std::uint64_t{server.connections});
  json.put("work_s", server.work);
  if (server.latest_after_told >= 0) json.put("latest_after_told_ms", milliseconds(server.latest_after_told));
  json.writer().EndObject();
}

void table_of_nodes(const std::vector<NodeResult>& nodes, std::string& out) {
  print(out, "\n%-10s %6s %6s %7s %6s %6s %5s %5s %8s  time added, ms: %8s %8s   with retries: %8s %8s\n",
        "node", "calls", "served", "refused", "failed", "closed", "left", "lost", "attempts", "median",
        "99/100", "median", "99/100");
  for (const NodeResult& node : nodes) {
    const auto of = [&node](Ending ending) { return count(node.endings, ending); };
    print(out, "%-10s %6zu %6zu %7zu %6zu %6zu %5zu %5zu %8zu  %15s %8.2f %8.2f   %13s %8.2f %8.2f\n",
          node.name.c_str(), node.calls, of(Ending::kServed), of(Ending::kRefused), of(Ending::kFailed),
          of(Ending::kClosed), of(Ending::kLeft), of(Ending::kLost), node.attempts, "",
          node.added_at_once.median * 1e3, node.added_at_once.p99 * 1e3, "", node.added.median * 1e3,
          node.added.p99 * 1e3);
  }
  print(out, "\n%-10s %7s %6s %9s %9s %7s %7s %7s %7s\n", "control", "watches", "lists", "bytes in",
        "bytes out", "listed", "down", "cpu s", "mem MB");
  for (const NodeResult& node : nodes) {
    print(out, "%-10s %7zu %6zu %9zu %9zu %7zu %7zu %7.2f %7.1f\n", node.name.c_str(), node.watch_calls,
          node.whole_lists, node.control_bytes_in, node.control_bytes_out, node.hosts_listed, node.hosts_down,
          node.cpu, node.memory_mb);
  }
}

void table_of_servers(const Report& report, std::string& out) {
  print(out, "\n%-10s %6s %6s %6s %6s %6s  attempts in each second\n", "server", "served", "errors", "turned",
        "given", "conns");
  print(out, "%-10s %6s %6s %6s %6s %6s\n", "", "", "", "away", "up", "");
  constexpr std::size_t kMostColumns = 12;
  for (const ServerResult& server : report.servers) {
    const auto of = [&server](AttemptEnd how) { return count(server.attempts, how); };
    print(out, "%-10s %6zu %6zu %6zu %6zu %6zu ", server.name.c_str(), of(AttemptEnd::kServed),
          of(AttemptEnd::kError), of(AttemptEnd::kTurnedAway), of(AttemptEnd::kGivenUp), server.connections);
    for (std::size_t i = 0; i < std::min(kMostColumns, server.by_second.size()); ++i) {
      print(out, " %4zu", server.by_second[i]);
    }
    out += '\n';
  }
}

// What was done to servers, and what the nodes did about it.
void table_of_changes(const Report& report, std::string& out) {
  for (const ServerResult& server : report.servers) {
    for (const ServerResult::Done& change : server.changes) {
      const auto second = static_cast<std::size_t>(change.at);
      const auto in_second = [&server](std::size_t at) {
        return at < server.by_second.size() ? server.by_second[at] : 0;
      };
      print(out, "%s: %s at %.1f s", server.name.c_str(), change.kind.c_str(), change.at);
      if (second > 0) print(out, "; %zu attempts in the second before", in_second(second - 1));
      print(out, ", %zu in the one from %zu s, %zu in the next", in_second(second), second,
            in_second(second + 1));
      if (server.given_up_after.count > 0) {
        print(out, "; %zu given up after %.0f ms in the median", server.given_up_after.count,
              server.given_up_after.median * 1e3);
      }
      if (server.latest_after_told >= 0) {
        print(out, "; the last new one %.0f ms after its node was told", server.latest_after_told * 1e3);
      }
      out += '\n';
    }
  }
  if (!out.empty()) out.insert(0, "\n");
}

}  // namespace

void NodeResult::take_stats(const std::string& line) {
  rapidjson::Document in;
  in.Parse(line.data(), line.size());
  if (in.HasParseError() || !in.IsObject()) return;
  stats = line;
  const auto figure = [&in](const char* name) -> std::size_t {
    const json::Value* value = json::find(in, name);
    return value != nullptr && value->IsUint64() ? value->GetUint64() : 0;
  };
  hosts_listed = figure("hosts_listed");
  hosts_down = figure("hosts_down");
}

Spread spread_of(std::vector<double> values) {
  Spread out;
  out.count = values.size();
  if (values.empty()) return out;
  std::sort(values.begin(), values.end());
  const auto at = [&values](double part) {
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
  };
  out.median = at(0.5);
  out.p99 = at(0.99);
  out.p999 = at(0.999);
  out.last = values.back();
  return out;
}

void add_calls(const Audit& audit, double first_call, Report& report) {
  std::vector<std::vector<double>> given_up(report.servers.size());
  for (const auto& [id, call] : audit.calls()) {
    NodeResult& node = report.nodes[call.node];
    ++node.calls;
    ++node.endings[call.ending];
    node.attempts += call.attempts.size();
    double with_servers = 0;
    for (const Audit::Attempt& attempt : call.attempts) {
      with_servers += attempt.ended - attempt.arrived;
      ServerResult& server = report.servers[attempt.server];
      ++server.attempts[attempt.how];
      if (attempt.how == AttemptEnd::kGivenUp)
        given_up[attempt.server].push_back(attempt.ended - attempt.arrived);
      const auto second = static_cast<std::size_t>(std::max(0.0, attempt.arrived - first_call));
      if (server.by_second.size() <= second) server.by_second.resize(second + 1);
      ++server.by_second[second];
    }
    // Second copies overlap: what servers had them for can't be taken off then.
    if (call.ending != Ending::kServed || (call.attempts.size() > 1 && report.experiment->allow_hedging))
      continue;
    const double added = call.ended - call.sent - with_servers;
    node.times.push_back(added);
    if (call.attempts.size() == 1) node.times_at_once.push_back(added);
  }
  std::size_t seconds = 0;
  for (const ServerResult& server : report.servers) seconds = std::max(seconds, server.by_second.size());
  for (std::size_t i = 0; i < report.servers.size(); ++i) {
    report.servers[i].by_second.resize(seconds);
    report.servers[i].given_up_after = spread_of(std::move(given_up[i]));
  }
  for (NodeResult& node : report.nodes) {
    node.added_at_once = spread_of(node.times_at_once);
    node.added = spread_of(node.times);
  }
  for (const auto& [server, after] : audit.latest_after_told())
    report.servers[server].latest_after_told = after;
  report.breaks = audit.breaks();
  report.first_breaks = audit.first_breaks();
}

std::vector<NodeResult> groups_of(const Report& report) {
  std::map<std::pair<int, std::string>, NodeResult> groups;
  for (const NodeResult& node : report.nodes) {
    NodeResult& group = groups[{node.tier, node.kind}];
    group.kind = node.kind;
    group.tier = node.tier;
    group.list_index = group.members == 0 ? node.list_index : std::min(group.list_index, node.list_index);
    group.latest_index = node.latest_index;
    ++group.members;
    for (const auto& [ending, calls] : node.endings) group.endings[ending] += calls;
    group.calls += node.calls;
    group.attempts += node.attempts;
    group.times.insert(group.times.end(), node.times.begin(), node.times.end());
    group.times_at_once.insert(group.times_at_once.end(), node.times_at_once.begin(),
                               node.times_at_once.end());
    group.watch_calls += node.watch_calls;
    group.whole_lists += node.whole_lists;
    group.control_bytes_in += node.control_bytes_in;
    group.control_bytes_out += node.control_bytes_out;
    group.hosts_listed = std::max(group.hosts_listed, node.hosts_listed);
    group.hosts_down = std::max(group.hosts_down, node.hosts_down);
    group.cpu += node.cpu;
    group.memory_mb += node.memory_mb;
  }
  std::vector<NodeResult> out;
  out.reserve(groups.size());
  for (auto& [key, group] : groups) {
    group.name = std::to_string(group.members) + " " + group.kind +
                 (group.tier > 0 ? ", t" + std::to_string(group.tier) : "");
    group.added_at_once = spread_of(group.times_at_once);
    group.added = spread_of(group.times);
    out.push_back(std::move(group));
  }
  return out;
}

std::string to_json(const Report& report) {
  Json json;
  json.writer().StartObject();
  json.put("experiment", report.experiment->name);
  json.put("title", report.experiment->title);
  json.put("seed", report.seed);
  json.put("seconds", report.seconds);
  json.put("good", report.is_good());
  json.put("cut_off", report.cut_off);
  json.key("breaks");
  json.writer().StartObject();
  for (const auto& [rule, times] : report.breaks) json.put(rule.c_str(), std::uint64_t{times});
  json.writer().EndObject();
  json.put("first_breaks", report.first_breaks);
  json.put("worst_own_lateness_ms", milliseconds(report.worst_own_lateness));
  json.put("own_cpu_s", report.own_cpu);
  json.put("own_memory_mb", report.own_memory_mb);
  json.put("in_force", spread_of(report.times_in_force));
  json.key("groups");
  json.writer().StartArray();
  for (const NodeResult& group : groups_of(report)) write(json, group);
  json.writer().EndArray();
  json.key("nodes");
  json.writer().StartArray();
  if (report.nodes.size() <= kMostInJson) {
    for (const NodeResult& node : report.nodes) write(json, node);
  }
  json.writer().EndArray();
  json.key("servers");
  json.writer().StartArray();
  for (const ServerResult& server : report.servers) write(json, server);
  json.writer().EndArray();
  json.writer().EndObject();
  return json.text() + "\n";
}

std::string to_table(const Report& report) {
  std::string out;
  print(out, "%s: %s\n", report.experiment->name.c_str(), report.experiment->title.c_str());
  print(out,
        "seed %llu, %.1f s of calls; the lab itself was up to %.1f ms late, and used %.1f s of a core, %.0f "
        "MB\n",
        static_cast<unsigned long long>(report.seed), report.seconds, report.worst_own_lateness * 1e3,
        report.own_cpu, report.own_memory_mb);
  // Many nodes are shown by kind.
  constexpr std::size_t kMostRows = 12;
  table_of_nodes(report.nodes.size() > kMostRows ? groups_of(report) : report.nodes, out);
  table_of_servers(report, out);
  const Spread in_force = spread_of(report.times_in_force);
  if (in_force.count > 0) {
    print(out, "\nchanges in force at hollow nodes after, ms: median %.1f, 99/100 %.1f, last %.1f (%zu)\n",
          in_force.median * 1e3, in_force.p99 * 1e3, in_force.last * 1e3, in_force.count);
  }
  std::string changes;
  table_of_changes(report, changes);
  out += changes + '\n';
  if (report.cut_off) out += "CUT OFF: what stands here is a part\n";
  if (report.breaks.empty()) out += "rules kept\n";
  for (const auto& [rule, times] : report.breaks) print(out, "BROKEN %s, %zu times\n", rule.c_str(), times);
  for (const std::string& text : report.first_breaks) out += "  " + text + "\n";
  return out;
}

}  // namespace nettleyoke::lab
