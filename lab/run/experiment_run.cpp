#include "run/experiment_run.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "load/load_generator.h"
#include "nodes/admin_call.h"
#include "report/summary.h"
#include "run/event_loop_monitor.h"
#include "run/fault_injector.h"
#include "run/fleet.h"
#include "run/run_results.h"

namespace nettleyoke::lab {
namespace {

using boost::system::error_code;
using node::Clock;

constexpr double kStartupTimeoutSeconds = 30;  // until all nodes are ready
constexpr double kShutdownTimeoutSeconds =
    10;                                // until all nodes have exited, in addition to the longest call
constexpr double kTickSeconds = 0.01;  // between checks of the event loop's delay, the nodes and the phase
// Added to the longest call, so that calls from servers to the next tier can end too.
constexpr double kServerCompletionSeconds = 0.5;

InvariantChecker::Rules rules_of(const Experiment& experiment) {
  return {experiment.settings.answer_slack, experiment.settings.drain_grace,
          experiment.settings.allow_hedging, experiment.classes};
}

class ExperimentRun {
 public:
  ExperimentRun(const Experiment& experiment, const RunOptions& options)
      : experiment_(experiment),
        options_(options),
        io_(1),
        signals_(io_, SIGINT, SIGTERM),
        tick_timer_(io_),
        checker_(rules_of(experiment)),
        fleet_({io_, clock_, checker_}, experiment, {options.node_program, options.folder}),
        fault_injector_(io_, clock_, fleet_, experiment.faults,
                        [this](const FaultInjection& fault) { record_fault(fault); }) {
    report_.experiment = &experiment;
    report_.seed = experiment.seed;
    add_fleet(fleet_, report_);
  }

  Report run() {
    signals_.async_wait([this](error_code error, int) {
      if (!error) interrupt();
    });
    options_.progress("starting nodes", 0);
    for (const FleetNode& fleet_node : fleet_.nodes()) {
      fleet_node.node->start(fleet_node.config, [this] { on_node_ready(); });
    }
    phase_deadline_ = clock_.now() + kStartupTimeoutSeconds;
    wait_for_tick(clock_.now() + kTickSeconds);
    io_.run();
    if (!failure_.empty()) throw RunError(failure_);
    finish_report();
    return std::move(report_);
  }

 private:
  // Each phase has a time limit, so the run ends even if nodes hang.
  enum class Phase { kStarting, kLoad, kLastResponses, kStats, kShuttingDown, kFinished };

  void on_node_ready() {
    if (++ready_nodes_ < fleet_.nodes().size() || phase_ != Phase::kStarting) return;
    begin_load();
  }

  void begin_load() {
    phase_ = Phase::kLoad;
    first_call_ = clock_.now();
    options_.progress("running load", 0);
    fleet_.connect_tiers();
    const std::vector<NodeUnderTest*> targets = fleet_.first_tier_nodes();
    for (std::size_t i = 0; i < experiment_.loads.size(); ++i) {
      load_generators_.push_back(std::make_unique<LoadGenerator>(
          io_, clock_, checker_, experiment_, experiment_.loads[i], targets, experiment_.seed + i));
      load_generators_.back()->start();
    }
    phase_deadline_ = first_call_ + experiment_.seconds;
    fault_injector_.start(first_call_);
  }

  void advance_phase() {
    const double now = clock_.now();
    switch (phase_) {
      case Phase::kStarting:
        if (now >= phase_deadline_) fail("not all nodes were ready within the startup timeout of 30 s");
        break;
      case Phase::kLoad:
        if (now >= phase_deadline_) await_last_responses(now);
        break;
      case Phase::kLastResponses:
        if (all_calls_ended() || now >= phase_deadline_) collect_stats();
        break;
      case Phase::kStats:
        if (open_stats_calls_ == 0) shut_nodes_down();
        break;
      case Phase::kShuttingDown:
        if (all_nodes_exited() || now >= phase_deadline_) check_exits();
        break;
      case Phase::kFinished:
        break;
    }
  }

  void await_last_responses(double now) {
    phase_ = Phase::kLastResponses;
    phase_deadline_ = now + longest_call();
    report_.seconds = now - first_call_;
    options_.progress("waiting for the last responses", now - first_call_);
  }

  // The longest time that a call may take, plus the time for calls from servers to the next tier to end.
  double longest_call() const {
    double timeout = 0;
    for (const ClassSpec& spec : experiment_.classes) timeout = std::max(timeout, spec.client_timeout);
    return timeout + experiment_.settings.answer_slack + kServerCompletionSeconds;
  }

  bool all_calls_ended() const {
    return checker_.pending_calls() == 0 &&
           std::all_of(load_generators_.begin(), load_generators_.end(),
                       [](const auto& generator) { return generator->is_done(); });
  }

  void collect_stats() {
    phase_ = Phase::kStats;
    checker_.close(clock_.now());
    options_.progress("collecting statistics", clock_.now() - first_call_);
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      const FleetNode& fleet_node = fleet_.nodes()[i];
      NodeResult& result = report_.nodes[i];
      collect_node(fleet_, fleet_node, result);
      const auto admin = fleet_node.node->admin_endpoint();
      if (!admin || fleet_node.node->has_exited()) continue;
      ++open_stats_calls_;
      call_admin(io_, *admin, "STATS", [this, &result](const std::string& response) {
        --open_stats_calls_;
        result.parse_stats(response.substr(0, response.find('\n')));
      });
    }
  }

  void shut_nodes_down() {
    phase_ = Phase::kShuttingDown;
    phase_deadline_ = clock_.now() + longest_call() + kShutdownTimeoutSeconds;
    options_.progress("stopping nodes", clock_.now() - first_call_);
    for (const FleetNode& fleet_node : fleet_.nodes()) fleet_node.node->shut_down();
  }

  bool all_nodes_exited() {
    return std::all_of(fleet_.nodes().begin(), fleet_.nodes().end(),
                       [](const FleetNode& fleet_node) { return fleet_node.node->has_exited(); });
  }

  void check_exits() {
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      NodeUnderTest& node = *fleet_.nodes()[i].node;
      const std::string& name = report_.nodes[i].name;
      if (!node.has_exited()) {
        checker_.add_violation(Rule::kGracefulShutdown, name + " did not exit after SIGTERM");
      } else if (node.exit_status() != 0 && !crashed_nodes_.contains(i)) {
        checker_.add_violation(Rule::kNoCrash,
                               name + " exited with status " + std::to_string(node.exit_status()));
      }
      if (node.unsolicited_responses() > 0) {
        checker_.add_violation(Rule::kOneFinalAnswer, name + " sent a response without a request");
      }
    }
    finish();
  }

  void finish() {
    phase_ = Phase::kFinished;
    io_.stop();
  }

  void fail(const std::string& reason) {
    failure_ = reason;
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      NodeUnderTest& node = *fleet_.nodes()[i].node;
      if (node.has_exited()) failure_ += "\n" + report_.nodes[i].name + ": " + node.log();
    }
    finish();
  }

  // Does not close the checker: calls in flight at the interruption are no violations.
  void interrupt() {
    report_.interrupted = true;
    report_.seconds = phase_ == Phase::kStarting ? 0 : clock_.now() - first_call_;
    for (const auto& generator : load_generators_) generator->stop();
    fault_injector_.stop();
    options_.progress("interrupted", report_.seconds);
    shut_nodes_down();
  }

  void wait_for_tick(double due) {
    tick_timer_.expires_at(clock_.to_time_point(due));
    tick_timer_.async_wait([this, due](error_code cancelled) {
      if (cancelled) return;
      monitor_.record(due, clock_.now());
      checker_.set_event_loop_delay(monitor_.recent_delay());
      check_for_crashes();
      advance_phase();
      if (phase_ != Phase::kFinished) wait_for_tick(clock_.now() + kTickSeconds);
    });
  }

  void check_for_crashes() {
    if (phase_ == Phase::kShuttingDown || phase_ == Phase::kFinished) return;
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      NodeUnderTest& node = *fleet_.nodes()[i].node;
      if (!node.has_exited() || !crashed_nodes_.insert(i).second) continue;
      checker_.add_violation(Rule::kNoCrash, report_.nodes[i].name + " exited unexpectedly with status " +
                                                 std::to_string(node.exit_status()));
      if (phase_ == Phase::kStarting) return fail("a node exited during startup");
    }
  }

  void record_fault(const FaultInjection& fault) {
    const std::string kind = fault_kind_name(fault.kind);
    options_.progress(kind + (fault.server.empty() ? "" : " " + fault.server), clock_.now() - first_call_);
    if (!targets_server(fault.kind)) return;
    report_.servers[fleet_.server(fault.server)->number()].faults.push_back({kind, fault.at});
  }

  void finish_report() {
    if (!report_.interrupted) checker_.close(clock_.now());
    add_calls(checker_, first_call_, report_);
    report_.worst_event_loop_delay = monitor_.worst_delay();
    collect_run(fleet_, report_);
  }

  const Experiment& experiment_;
  const RunOptions& options_;
  Report report_;
  boost::asio::io_context io_;
  Clock clock_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_timer_;
  InvariantChecker checker_;
  Fleet fleet_;
  FaultInjector fault_injector_;
  std::vector<std::unique_ptr<LoadGenerator>> load_generators_;
  EventLoopMonitor monitor_;
  Phase phase_ = Phase::kStarting;
  double phase_deadline_ = 0, first_call_ = 0;
  std::size_t ready_nodes_ = 0, open_stats_calls_ = 0;
  std::set<std::size_t> crashed_nodes_;
  std::string failure_;
};

/// During its lifetime, the log of all hollow nodes (std::clog) goes to a file beside the logs of the real
/// nodes.
class LogRedirection {
 public:
  explicit LogRedirection(const std::string& path)
      : file_(path), original_buffer_(std::clog.rdbuf(file_.rdbuf())) {}
  ~LogRedirection() { std::clog.rdbuf(original_buffer_); }
  LogRedirection(const LogRedirection&) = delete;
  LogRedirection& operator=(const LogRedirection&) = delete;

 private:
  std::ofstream file_;
  std::streambuf* original_buffer_;
};

}  // namespace

Report run_experiment(const Experiment& experiment, const RunOptions& options) {
  const LogRedirection redirection(options.folder + "/hollow.log");
  return ExperimentRun(experiment, options).run();
}

}  // namespace nettleyoke::lab
