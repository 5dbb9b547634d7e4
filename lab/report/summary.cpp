#include "report/summary.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace nettleyoke::lab {
namespace {

/// Adds calls one by one to the results of their nodes and servers.
class CallSummary {
 public:
  CallSummary(double first_call, Report& report)
      : first_call_(first_call), report_(report), abandoned_after_(report.servers.size()) {}

  void add(const InvariantChecker::Call& call) {
    NodeResult& node = report_.nodes[call.node];
    ++node.calls;
    ++node.outcomes[call.outcome];
    node.attempts += call.attempts.size();
    double time_with_servers = 0;
    for (const InvariantChecker::Attempt& attempt : call.attempts) {
      time_with_servers += attempt.ended_at - attempt.arrived_at;
      add(attempt);
    }
    // Hedged requests overlap, so subtracting the sum of their times at servers would give a wrong latency.
    const bool may_overlap = call.attempts.size() > 1 && report_.experiment->settings.allow_hedging;
    if (call.outcome != CallOutcome::kServed || may_overlap) return;
    const double added = call.ended_at - call.sent_at - time_with_servers;
    node.added_latencies.push_back(added);
    if (call.attempts.size() == 1) node.added_latencies_single_attempt.push_back(added);
  }

  void finish() {
    std::size_t seconds = 0;
    for (const ServerResult& server : report_.servers) {
      seconds = std::max(seconds, server.attempts_by_second.size());
    }
    for (std::size_t i = 0; i < report_.servers.size(); ++i) {
      report_.servers[i].attempts_by_second.resize(seconds);
      report_.servers[i].abandoned_after = quantiles_of(std::move(abandoned_after_[i]));
    }
    for (NodeResult& node : report_.nodes) {
      node.added_latency_single_attempt = quantiles_of(node.added_latencies_single_attempt);
      node.added_latency = quantiles_of(node.added_latencies);
    }
  }

 private:
  void add(const InvariantChecker::Attempt& attempt) {
    ServerResult& server = report_.servers[attempt.server];
    ++server.attempts[attempt.outcome];
    if (attempt.outcome == AttemptOutcome::kAbandoned) {
      abandoned_after_[attempt.server].push_back(attempt.ended_at - attempt.arrived_at);
    }
    const auto second = static_cast<std::size_t>(std::max(0.0, attempt.arrived_at - first_call_));
    if (server.attempts_by_second.size() <= second) server.attempts_by_second.resize(second + 1);
    ++server.attempts_by_second[second];
  }

  double first_call_;
  Report& report_;
  std::vector<std::vector<double>> abandoned_after_;  // by server
};

void append(std::vector<double>& values, const std::vector<double>& more) {
  values.insert(values.end(), more.begin(), more.end());
}

void add_to_group(NodeResult& group, const NodeResult& node) {
  group.kind = node.kind;
  group.tier = node.tier;
  group.list_version =
      group.group_size == 0 ? node.list_version : std::min(group.list_version, node.list_version);
  group.latest_version = node.latest_version;
  ++group.group_size;
  for (const auto& [outcome, calls] : node.outcomes) group.outcomes[outcome] += calls;
  group.calls += node.calls;
  group.attempts += node.attempts;
  append(group.added_latencies, node.added_latencies);
  append(group.added_latencies_single_attempt, node.added_latencies_single_attempt);
  group.watch_calls += node.watch_calls;
  group.full_lists += node.full_lists;
  group.control_bytes_in += node.control_bytes_in;
  group.control_bytes_out += node.control_bytes_out;
  group.hosts_listed = std::max(group.hosts_listed, node.hosts_listed);
  group.hosts_down = std::max(group.hosts_down, node.hosts_down);
  group.cpu += node.cpu;
  group.memory_mb += node.memory_mb;
}

}  // namespace

void add_calls(const InvariantChecker& checker, double first_call, Report& report) {
  CallSummary summary(first_call, report);
  for (const auto& [id, call] : checker.calls()) summary.add(call);
  summary.finish();
  for (const auto& [server, after] : checker.latest_attempt_after_notification()) {
    report.servers[server].latest_attempt_after_notification = after;
  }
  report.violations = checker.violations();
  report.first_violations = checker.first_violations();
}

std::vector<NodeResult> groups_of(const Report& report) {
  struct GroupKey {
    int tier = 0;
    std::string kind;
    bool operator<(const GroupKey& other) const {
      return std::tie(tier, kind) < std::tie(other.tier, other.kind);
    }
  };
  std::map<GroupKey, NodeResult> groups;
  for (const NodeResult& node : report.nodes) add_to_group(groups[{node.tier, node.kind}], node);
  std::vector<NodeResult> results;
  results.reserve(groups.size());
  for (auto& [key, group] : groups) {
    group.name = std::to_string(group.group_size) + " " + group.kind +
                 (group.tier > 0 ? ", t" + std::to_string(group.tier) : "");
    group.added_latency_single_attempt = quantiles_of(group.added_latencies_single_attempt);
    group.added_latency = quantiles_of(group.added_latencies);
    results.push_back(std::move(group));
  }
  return results;
}

}  // namespace nettleyoke::lab
