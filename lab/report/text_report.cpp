#include "report/text_report.h"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

#include "report/summary.h"

namespace nettleyoke::lab {
namespace {

constexpr std::size_t kMaxNodeRows = 12;  // with more nodes, each row shows a group of nodes
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
        "seed %llu, load for %.1f s; lab process: event loop at most %.1f ms late, %.1f s CPU, %.0f MB peak "
        "memory\n",
        static_cast<unsigned long long>(report.seed), report.seconds,
        milliseconds(report.worst_event_loop_delay), report.lab_cpu, report.lab_memory_mb);
}

void print_calls(const std::vector<NodeResult>& nodes, std::string& out) {
  print(out,
        "\n%-10s %8s %6s %8s %6s %6s %9s %7s %8s  latency added by node, ms; one attempt: %8s %8s   incl. "
        "retries: %8s %8s\n",
        "node", "requests", "served", "rejected", "failed", "closed", "cancelled", "timeout", "attempts",
        "median", "p99", "median", "p99");
  for (const NodeResult& node : nodes) {
    const auto count = [&node](CallOutcome outcome) { return count_of(node.outcomes, outcome); };
    print(out, "%-10s %8zu %6zu %8zu %6zu %6zu %9zu %7zu %8zu  %39s %8.2f %8.2f   %14s %8.2f %8.2f\n",
          node.name.c_str(), node.calls, count(CallOutcome::kServed), count(CallOutcome::kRejected),
          count(CallOutcome::kFailed), count(CallOutcome::kConnectionClosed),
          count(CallOutcome::kClientDisconnected), count(CallOutcome::kUnanswered), node.attempts, "",
          milliseconds(node.added_latency_single_attempt.median),
          milliseconds(node.added_latency_single_attempt.p99), "", milliseconds(node.added_latency.median),
          milliseconds(node.added_latency.p99));
  }
}

void print_control(const std::vector<NodeResult>& nodes, std::string& out) {
  print(out, "\n%-10s %18s %10s %14s %16s %9s %7s %7s %7s\n", "node", "discovery requests", "full lists",
        "B to discovery", "B from discovery", "endpoints", "down", "CPU s", "mem MB");
  for (const NodeResult& node : nodes) {
    print(out, "%-10s %18zu %10zu %14zu %16zu %9zu %7zu %7.2f %7.1f\n", node.name.c_str(), node.watch_calls,
          node.full_lists, node.control_bytes_in, node.control_bytes_out, node.hosts_listed, node.hosts_down,
          node.cpu, node.memory_mb);
  }
}

void print_servers(const Report& report, std::string& out) {
  print(out, "\n%-10s %6s %6s %8s %9s %6s  attempts in each of the first %zu seconds\n", "server", "served",
        "errors", "rejected", "abandoned", "conns", kMaxSecondColumns);
  for (const ServerResult& server : report.servers) {
    const auto count = [&server](AttemptOutcome outcome) { return count_of(server.attempts, outcome); };
    print(out, "%-10s %6zu %6zu %8zu %9zu %6zu ", server.name.c_str(), count(AttemptOutcome::kServed),
          count(AttemptOutcome::kServerError), count(AttemptOutcome::kRejected),
          count(AttemptOutcome::kAbandoned), server.connections);
    const std::size_t columns = std::min(kMaxSecondColumns, server.attempts_by_second.size());
    for (std::size_t second = 0; second < columns; ++second) {
      print(out, " %4zu", server.attempts_by_second[second]);
    }
    out += '\n';
  }
}

// Prints a fault of a server and the attempts in the second of the fault, the one before and the one after.
void print_fault(const ServerResult& server, const ServerResult::InjectedFault& fault, std::string& out) {
  const auto second = static_cast<std::size_t>(fault.at);
  const auto attempts_in = [&server](std::size_t at) {
    return at < server.attempts_by_second.size() ? server.attempts_by_second[at] : 0;
  };
  print(out, "%s: %s at %.1f s", server.name.c_str(), fault.kind.c_str(), fault.at);
  if (second > 0) print(out, "; %zu attempts in the second before", attempts_in(second - 1));
  print(out, "; %zu attempts from %zu s to %zu s, %zu in the second after", attempts_in(second), second,
        second + 1, attempts_in(second + 1));
  if (server.abandoned_after.count > 0) {
    print(out, "; in the whole run, nodes abandoned %zu attempts after a median of %.0f ms",
          server.abandoned_after.count, milliseconds(server.abandoned_after.median));
  }
  if (server.latest_attempt_after_notification >= 0) {
    print(out, "; last new attempt %.0f ms after the sending node was notified that the server drains",
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
  print(out,
        "\ntime until hollow (in-process) nodes used a changed endpoint list, ms: "
        "median %.1f, p99 %.1f, max %.1f (%zu times measured)\n",
        milliseconds(times.median), milliseconds(times.p99), milliseconds(times.max), times.count);
}

void print_verdict(const Report& report, std::string& out) {
  if (report.interrupted) out += "INTERRUPTED: these are partial results\n";
  if (report.violations.empty()) out += "no violations\n";
  for (const auto& [rule, times] : report.violations)
    print(out, "VIOLATED rule \"%s\", %zu times\n", rule.c_str(), times);
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
