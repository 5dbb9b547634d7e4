#include "report/text_report.h"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

#include "report/summary.h"

namespace nettleyoke::lab {
namespace {

constexpr std::size_t kMaxNodeRows = 12;  // more nodes are shown by kind
constexpr std::size_t kMaxSecondColumns = 12;
constexpr std::size_t kMaxLineLength = 512;

__attribute__((format(printf, 2, 3))) void print(std::string& out, const char* format, ...) {
  std::array<char, kMaxLineLength> line{};
  va_list values;
  va_start(values, format);
  std::vsnprintf(line.data(), line.size(), format, values);
  va_end(values);
  out += line.data();
}

template <typename Key>
std::size_t count_of(const std::map<Key, std::size_t>& counts, Key key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

double milliseconds(double seconds) { return seconds * 1e3; }

void print_head(const Report& report, std::string& out) {
  print(out, "%s: %s\n", report.experiment->name.c_str(), report.experiment->title.c_str());
  print(out,
        "seed %llu, %.1f s of calls; the lab itself was up to %.1f ms late, and used %.1f s of a core, %.0f "
        "MB\n",
        static_cast<unsigned long long>(report.seed), report.seconds,
        milliseconds(report.worst_event_loop_delay), report.own_cpu, report.own_memory_mb);
}

void print_calls(const std::vector<NodeResult>& nodes, std::string& out) {
  print(out, "\n%-10s %6s %6s %7s %6s %6s %5s %5s %8s  time added, ms: %8s %8s   with retries: %8s %8s\n",
        "node", "calls", "served", "refused", "failed", "closed", "left", "lost", "attempts", "median",
        "99/100", "median", "99/100");
  for (const NodeResult& node : nodes) {
    const auto count = [&node](CallOutcome outcome) { return count_of(node.outcomes, outcome); };
    print(out, "%-10s %6zu %6zu %7zu %6zu %6zu %5zu %5zu %8zu  %15s %8.2f %8.2f   %13s %8.2f %8.2f\n",
          node.name.c_str(), node.calls, count(CallOutcome::kServed), count(CallOutcome::kRejected),
          count(CallOutcome::kFailed), count(CallOutcome::kConnectionClosed),
          count(CallOutcome::kClientDisconnected), count(CallOutcome::kUnanswered), node.attempts, "",
          milliseconds(node.added_in_one_attempt.median), milliseconds(node.added_in_one_attempt.p99), "",
          milliseconds(node.added.median), milliseconds(node.added.p99));
  }
}

void print_control(const std::vector<NodeResult>& nodes, std::string& out) {
  print(out, "\n%-10s %7s %6s %9s %9s %7s %7s %7s %7s\n", "control", "watches", "lists", "bytes in",
        "bytes out", "listed", "down", "cpu s", "mem MB");
  for (const NodeResult& node : nodes) {
    print(out, "%-10s %7zu %6zu %9zu %9zu %7zu %7zu %7.2f %7.1f\n", node.name.c_str(), node.watch_calls,
          node.full_lists, node.control_bytes_in, node.control_bytes_out, node.hosts_listed, node.hosts_down,
          node.cpu, node.memory_mb);
  }
}

void print_servers(const Report& report, std::string& out) {
  print(out, "\n%-10s %6s %6s %6s %6s %6s  attempts in each second\n", "server", "served", "errors", "turned",
        "given", "conns");
  print(out, "%-10s %6s %6s %6s %6s %6s\n", "", "", "", "away", "up", "");
  for (const ServerResult& server : report.servers) {
    const auto count = [&server](AttemptOutcome outcome) { return count_of(server.attempts, outcome); };
    print(out, "%-10s %6zu %6zu %6zu %6zu %6zu ", server.name.c_str(), count(AttemptOutcome::kServed),
          count(AttemptOutcome::kServerError), count(AttemptOutcome::kRejected),
          count(AttemptOutcome::kAbandoned), server.connections);
    const std::size_t columns = std::min(kMaxSecondColumns, server.attempts_by_second.size());
    for (std::size_t second = 0; second < columns; ++second) {
      print(out, " %4zu", server.attempts_by_second[second]);
    }
    out += '\n';
  }
}

// What befell a server, and what the nodes did about it.
void print_fault(const ServerResult& server, const ServerResult::InjectedFault& fault, std::string& out) {
  const auto second = static_cast<std::size_t>(fault.at);
  const auto attempts_in = [&server](std::size_t at) {
    return at < server.attempts_by_second.size() ? server.attempts_by_second[at] : 0;
  };
  print(out, "%s: %s at %.1f s", server.name.c_str(), fault.kind.c_str(), fault.at);
  if (second > 0) print(out, "; %zu attempts in the second before", attempts_in(second - 1));
  print(out, ", %zu in the one from %zu s, %zu in the next", attempts_in(second), second,
        attempts_in(second + 1));
  if (server.abandoned_after.count > 0) {
    print(out, "; %zu given up after %.0f ms in the median", server.abandoned_after.count,
          milliseconds(server.abandoned_after.median));
  }
  if (server.latest_attempt_after_notification >= 0) {
    print(out, "; the last new one %.0f ms after its node was told",
          milliseconds(server.latest_attempt_after_notification));
  }
  out += '\n';
}

void print_faults(const Report& report, std::string& out) {
  std::string lines;
  for (const ServerResult& server : report.servers) {
    for (const ServerResult::InjectedFault& fault : server.faults) print_fault(server, fault, lines);
  }
  if (!lines.empty()) out += "\n" + lines;
  out += '\n';
}

void print_propagation(const Report& report, std::string& out) {
  const Quantiles times = quantiles_of(report.propagation_times);
  if (times.count == 0) return;
  print(out, "\nchanges in force at hollow nodes after, ms: median %.1f, 99/100 %.1f, last %.1f (%zu)\n",
        milliseconds(times.median), milliseconds(times.p99), milliseconds(times.max), times.count);
}

void print_verdict(const Report& report, std::string& out) {
  if (report.interrupted) out += "CUT OFF: what stands here is a part\n";
  if (report.violations.empty()) out += "rules kept\n";
  for (const auto& [rule, times] : report.violations)
    print(out, "BROKEN %s, %zu times\n", rule.c_str(), times);
  for (const std::string& text : report.first_violations) out += "  " + text + "\n";
}

}  // namespace

std::string to_table(const Report& report) {
  std::string out;
  print_head(report, out);
  const std::vector<NodeResult> nodes = report.nodes.size() > kMaxNodeRows ? groups_of(report) : report.nodes;
  print_calls(nodes, out);
  print_control(nodes, out);
  print_servers(report, out);
  print_propagation(report, out);
  print_faults(report, out);
  print_verdict(report, out);
  return out;
}

}  // namespace nettleyoke::lab
