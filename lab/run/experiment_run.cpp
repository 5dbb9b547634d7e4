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

constexpr double kStartupLimitSeconds = 30;   // for the nodes to come up
constexpr double kShutdownLimitSeconds = 10;  // for them to end, beyond the longest call
constexpr double kTickSeconds = 0.01;         // between checks of the loop's delay and of what has ended
constexpr double kServerSideSeconds = 0.5;    // for calls of servers to end behind the longest call

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
        fleet_({io_, clock_, checker_}, experiment, {options.program, options.folder}),
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
    options_.progress("start", 0);
    for (const FleetNode& part : fleet_.nodes()) {
      part.node->start(part.config, [this] { on_node_ready(); });
    }
    phase_deadline_ = clock_.now() + kStartupLimitSeconds;
    wait_for_tick(clock_.now() + kTickSeconds);
    io_.run();
    if (!failure_.empty()) throw RunError(failure_);
    finish_report();
    return std::move(report_);
  }

 private:
  // Each phase has an end of its own, whatever the nodes do.
  enum class Phase { kStarting, kLoad, kLastResponses, kStats, kShuttingDown, kFinished };

  void on_node_ready() {
    if (++ready_nodes_ < fleet_.nodes().size() || phase_ != Phase::kStarting) return;
    begin_load();
  }

  void begin_load() {
    phase_ = Phase::kLoad;
    first_call_ = clock_.now();
    options_.progress("calls", 0);
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
        if (now >= phase_deadline_) fail("not all nodes came up");
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
    options_.progress("last answers", now - first_call_);
  }

  // The longest that a call may be open, and a bit for its server's calls to end behind it.
  double longest_call() const {
    double timeout = 0;
    for (const ClassSpec& spec : experiment_.classes) timeout = std::max(timeout, spec.client_timeout);
    return timeout + experiment_.settings.answer_slack + kServerSideSeconds;
  }

  bool all_calls_ended() const {
    return checker_.pending_calls() == 0 &&
           std::all_of(load_generators_.begin(), load_generators_.end(),
                       [](const auto& generator) { return generator->is_done(); });
  }

  void collect_stats() {
    phase_ = Phase::kStats;
    checker_.close(clock_.now());
    options_.progress("figures", clock_.now() - first_call_);
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      const FleetNode& part = fleet_.nodes()[i];
      NodeResult& result = report_.nodes[i];
      collect_node(fleet_, part, result);
      const auto admin = part.node->admin_endpoint();
      if (!admin || part.node->has_exited()) continue;
      ++open_stats_calls_;
      call_admin(io_, *admin, "STATS", [this, &result](const std::string& answer) {
        --open_stats_calls_;
        result.take_stats(answer.substr(0, answer.find('\n')));
      });
    }
  }

  void shut_nodes_down() {
    phase_ = Phase::kShuttingDown;
    phase_deadline_ = clock_.now() + longest_call() + kShutdownLimitSeconds;
    options_.progress("end", clock_.now() - first_call_);
    for (const FleetNode& part : fleet_.nodes()) part.node->shut_down();
  }

  bool all_nodes_exited() {
    return std::all_of(fleet_.nodes().begin(), fleet_.nodes().end(),
                       [](const FleetNode& part) { return part.node->has_exited(); });
  }

  void check_exits() {
    for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
      NodeUnderTest& node = *fleet_.nodes()[i].node;
      const std::string& name = report_.nodes[i].name;
      if (!node.has_exited()) {
        checker_.add_violation(Rule::kGracefulShutdown, name + " did not end after SIGTERM");
      } else if (node.exit_status() != 0 && !crashed_nodes_.contains(i)) {
        checker_.add_violation(Rule::kNoCrash, name + " ended with " + std::to_string(node.exit_status()));
      }
      if (node.unsolicited_responses() > 0) {
        checker_.add_violation(Rule::kOneAnswer, name + " answered what nobody asked");
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

  // What was in flight then is no node's fault.
  void interrupt() {
    report_.interrupted = true;
    report_.seconds = phase_ == Phase::kStarting ? 0 : clock_.now() - first_call_;
    for (const auto& generator : load_generators_) generator->stop();
    fault_injector_.stop();
    options_.progress("cut off", report_.seconds);
    shut_nodes_down();
  }

  void wait_for_tick(double due) {
    tick_timer_.expires_at(clock_.to_time_point(due));
    tick_timer_.async_wait([this, due](error_code cancelled) {
      if (cancelled) return;
      monitor_.record(due, clock_.now());
      checker_.set_event_loop_delay(monitor_.recent());
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
      checker_.add_violation(Rule::kNoCrash, report_.nodes[i].name + " ended by itself with " +
                                                 std::to_string(node.exit_status()));
      if (phase_ == Phase::kStarting) return fail("a node ended as it started");
    }
  }

  void record_fault(const FaultInjection& fault) {
    const std::string word = word_for(fault.kind);
    options_.progress(word + (fault.server.empty() ? "" : " " + fault.server), clock_.now() - first_call_);
    if (!targets_server(fault.kind)) return;
    report_.servers[fleet_.server(fault.server)->number()].faults.push_back({word, fault.at});
  }

  void finish_report() {
    if (!report_.interrupted) checker_.close(clock_.now());
    add_calls(checker_, first_call_, report_);
    report_.worst_event_loop_delay = monitor_.worst();
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

/// While it lives, what hollow nodes log goes into a file, beside the logs of real ones.
class LogRedirection {
 public:
  explicit LogRedirection(const std::string& path) : file_(path), before_(std::clog.rdbuf(file_.rdbuf())) {}
  ~LogRedirection() { std::clog.rdbuf(before_); }
  LogRedirection(const LogRedirection&) = delete;
  LogRedirection& operator=(const LogRedirection&) = delete;

 private:
  std::ofstream file_;
  std::streambuf* before_;
};

}  // namespace

Report run_experiment(const Experiment& experiment, const RunOptions& options) {
  const LogRedirection redirection(options.folder + "/hollow.log");
  return ExperimentRun(experiment, options).run();
}

}  // namespace nettleyoke::lab
