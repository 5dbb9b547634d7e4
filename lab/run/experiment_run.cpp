#include "run/experiment_run.h"

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"
#include "load/load_generator.h"
#include "load/random_stream.h"
#include "nodes/hollow_node.h"
#include "nodes/node_under_test.h"
#include "nodes/real_node.h"
#include "stand_ins/discovery_stand_in.h"
#include "stand_ins/server_stand_in.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using node::Clock;

constexpr double kStart = 30;          // s for the nodes to come up
constexpr double kEnd = 10;            // s beyond the longest deadline for them to end
constexpr double kTick = 0.01;         // s between looks at how late the lab is, and at what has ended
constexpr double kGoneAfterCrash = 1;  // s until discovery tells that a server has crashed
constexpr double kLateFor = 1;         // s for which the lab's own lateness excuses

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Audit::Rules rules_of(const Experiment& experiment) {
  return {experiment.answer_slack, experiment.drain_grace, experiment.allow_hedging, experiment.classes};
}

class Play {
 public:
  Play(const Experiment& experiment, const PlayOptions& options)
      : experiment_(experiment),
        options_(options),
        io_(1),
        signals_(io_, SIGINT, SIGTERM),
        tick_(io_),
        change_(io_),
        audit_(rules_of(experiment)) {
    report_.experiment = &experiment;
    report_.seed = experiment.seed;
    add_servers();
    add_nodes();
  }

  Report run() {
    signals_.async_wait([this](error_code bad, int) {
      if (!bad) cut_off();
    });
    options_.progress("start", 0);
    for (NodePart& part : nodes_) {
      part.node->start(part.config, [this] { one_is_ready(); });
    }
    phase_until_ = clock_.now() + kStart;
    tick(clock_.now() + kTick);
    io_.run();
    if (!failure_.empty()) throw std::runtime_error(failure_);
    finish_report();
    return std::move(report_);
  }

 private:
  enum class Phase { kStarting, kCalls, kLastAnswers, kFigures, kEnding, kOver };

  struct Tier {
    RequestCatalog catalog;
    std::vector<std::unique_ptr<ServerStandIn>> servers;
    std::vector<std::string> zones;  // of the servers
  };
  struct NodePart {
    int tier = 0;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<PlayedNode> node;
    RealNode* real = nullptr;  // the same, if it is one
    std::string config;
  };

  void add_servers() {
    tiers_.resize(static_cast<std::size_t>(experiment_.tiers()));
    for (const ServersPlan& plan : experiment_.servers) {
      Tier& tier = tiers_[static_cast<std::size_t>(plan.tier)];
      const std::vector<std::string> names = experiment_.names_of_servers(plan.tier);
      for (int i = 0; i < plan.count; ++i) {
        const ServerModel::Shape shape{plan.cores, plan.slots, plan.room, experiment_.initial_capacity,
                                       experiment_.slow_start_duration};
        const std::string& name = names[tier.servers.size()];
        tier.servers.push_back(std::make_unique<ServerStandIn>(
            io_, clock_, audit_, name, shape,
            ServerStandIn::Limits{static_cast<std::size_t>(plan.most_connections), plan.server_idle_timeout},
            experiment_.classes, experiment_.seed));
        tier.zones.push_back(plan.zones[static_cast<std::size_t>(i) % plan.zones.size()]);
        report_.servers.emplace_back().name = name;
        by_name_[name] = tier.servers.back().get();
        ServerStandIn& server = *tier.servers.back();
        server.set_unreachable([this, zone = tier.zones.back()](std::size_t node) {
          return is_cut_between(nodes_[node].node->zone(), zone);
        });
        tier.catalog.set({name, server.address(), tier.zones.back(), "up", 0});
      }
    }
  }

  // Those of the first tier, and in each further one beside every server of the tier before.
  void add_nodes() {
    for (int i = 0; i < experiment_.nodes; ++i) {
      const std::string& zone = experiment_.zones[static_cast<std::size_t>(i) % experiment_.zones.size()];
      add_node("n" + std::to_string(i), 0, zone, i, experiment_.nodes + experiment_.hollow_nodes, false);
    }
    for (int i = 0; i < experiment_.hollow_nodes; ++i) {
      const std::string& zone = experiment_.zones[static_cast<std::size_t>(i) % experiment_.zones.size()];
      add_node("h" + std::to_string(i), 0, zone, experiment_.nodes + i,
               experiment_.nodes + experiment_.hollow_nodes, true);
    }
    for (int tier = 1; tier < experiment_.tiers(); ++tier) {
      const Tier& before = tiers_[static_cast<std::size_t>(tier) - 1];
      for (std::size_t i = 0; i < before.servers.size(); ++i) {
        add_node("t" + std::to_string(tier) + "-n" + std::to_string(i), tier, before.zones[i],
                 static_cast<int>(i), static_cast<int>(before.servers.size()), false);
      }
    }
  }

  void add_node(const std::string& name, int tier, const std::string& zone, int position, int count,
                bool hollow) {
    NodePart part;
    part.tier = tier;
    const std::size_t number = audit_.add_node(name);
    const RequestCatalog& catalog = tiers_[static_cast<std::size_t>(tier)].catalog;
    part.agent = std::make_unique<Agent>(io_, clock_, audit_, number, !experiment_.must_watch);
    part.agent->send(catalog);
    if (hollow) {
      part.node = std::make_unique<HollowNode>(
          io_, clock_, HollowNode::Place{options_.folder, name, zone, number},
          [this](const std::string& server) { return server_of(server); },
          [this](std::uint64_t index) { in_force(index); });
    } else {
      auto real =
          std::make_unique<RealNode>(io_, audit_,
                                     RealNode::Place{options_.program, options_.folder, name, zone, number,
                                                     static_cast<std::size_t>(experiment_.sockets)});
      part.real = real.get();
      part.node = std::move(real);
    }
    std::ostringstream config;
    config << R"({"name":")" << name << R"(","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":")"
           << part.agent->local() << R"(","seed":")" << Draws(experiment_.seed, "node " + name).hex16()
           << R"(","limits":{"cores":1.0,"memory_mb":)" << experiment_.memory_mb << R"(,"sockets":)"
           << experiment_.sockets << R"(},"known":)" << catalog.snapshot() << R"(,"settings":)"
           << settings_json(experiment_, tier, zone, position, count) << "}";
    part.config = config.str();
    NodeResult& result = report_.nodes.emplace_back();
    result.name = name;
    result.kind = part.node->kind();
    result.tier = tier;
    nodes_.push_back(std::move(part));
  }

  const std::string& zone_of(const ServerStandIn& server) const {
    for (const Tier& tier : tiers_) {
      for (std::size_t i = 0; i < tier.servers.size(); ++i) {
        if (tier.servers[i].get() == &server) return tier.zones[i];
      }
    }
    throw std::logic_error("a server of no tier");
  }
  ServerStandIn* server_of(const std::string& name) const {
    const auto at = by_name_.find(name);
    return at == by_name_.end() ? nullptr : at->second;
  }
  bool is_cut_between(const std::string& one, const std::string& other) const {
    return !cut_zone_.empty() && (one == cut_zone_) != (other == cut_zone_);
  }

  // ---------------------------------------------------------------- phases

  void one_is_ready() {
    if (++ready_ < nodes_.size() || phase_ != Phase::kStarting) return;
    begin_calls();
  }

  void begin_calls() {
    phase_ = Phase::kCalls;
    first_call_ = clock_.now();
    options_.progress("calls", 0);
    // Servers of one tier make their calls through the node that stands beside them.
    const auto is_first = [](const NodePart& part) { return part.tier == 0; };
    auto node = static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), is_first));
    for (std::size_t tier = 0; tier + 1 < tiers_.size(); ++tier) {
      for (const auto& server : tiers_[tier].servers) {
        server->set_next({&nodes_[node].real->client(), node});
        ++node;
      }
    }
    std::vector<PlayedNode*> targets;
    targets.reserve(nodes_.size());
    for (const NodePart& part : nodes_) {
      if (part.tier == 0) targets.push_back(part.node.get());
    }
    for (std::size_t i = 0; i < experiment_.callers.size(); ++i) {
      callers_.push_back(std::make_unique<Callers>(io_, clock_, audit_, experiment_, experiment_.callers[i],
                                                   targets, experiment_.seed + i));
      callers_.back()->start();
    }
    phase_until_ = first_call_ + experiment_.seconds;
    wait_for_change();
  }

  // The longest that a call may be open, and a bit for its server's calls to end behind it.
  double longest_call() const {
    double out = 0;
    for (const ClassPlan& plan : experiment_.classes) out = std::max(out, plan.client_timeout);
    return out + experiment_.answer_slack + 0.5;
  }

  bool callers_are_done() const {
    return audit_.open_calls() == 0 && std::all_of(callers_.begin(), callers_.end(),
                                                   [](const auto& callers) { return callers->is_done(); });
  }

  // Every phase has an end of its own, whatever the nodes do.
  void look_on() {
    const double now = clock_.now();
    switch (phase_) {
      case Phase::kStarting:
        if (now >= phase_until_) fail("not all nodes came up");
        break;
      case Phase::kCalls:
        if (now < phase_until_) break;
        phase_ = Phase::kLastAnswers;
        phase_until_ = now + longest_call();
        report_.seconds = now - first_call_;
        options_.progress("last answers", now - first_call_);
        break;
      case Phase::kLastAnswers:
        if (callers_are_done() || now >= phase_until_) ask_for_figures();
        break;
      case Phase::kFigures:
        if (asked_ == 0) end_nodes();
        break;
      case Phase::kEnding:
        look_for_ends(now);
        break;
      case Phase::kOver:
        break;
    }
  }

  void ask_for_figures() {
    phase_ = Phase::kFigures;
    audit_.close(clock_.now());
    options_.progress("figures", clock_.now() - first_call_);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      PlayedNode& node = *nodes_[i].node;
      NodeResult& result = report_.nodes[i];
      const PlayedNode::Usage usage = node.usage();
      result.cpu = usage.cpu;
      result.memory_mb = static_cast<double>(usage.memory) / 1e6;
      const Agent::Counts& counts = nodes_[i].agent->counts();
      result.watch_calls = counts.calls;
      result.whole_lists = counts.whole_lists;
      result.control_bytes_in = counts.bytes_in;
      result.control_bytes_out = counts.bytes_out;
      result.list_index = node.list_index().value_or(nodes_[i].agent->index());
      result.latest_index = tiers_[static_cast<std::size_t>(nodes_[i].tier)].catalog.index();
      const auto where = node.operators();
      if (!where || node.has_ended()) continue;
      ++asked_;
      call_operators(io_, *where, "STATS", [this, &result](const std::string& answer) {
        --asked_;
        result.take_stats(answer.substr(0, answer.find('\n')));
      });
    }
  }

  void end_nodes() {
    phase_ = Phase::kEnding;
    phase_until_ = clock_.now() + longest_call() + kEnd;
    options_.progress("end", clock_.now() - first_call_);
    for (NodePart& part : nodes_) part.node->end();
  }

  void look_for_ends(double now) {
    const bool all =
        std::all_of(nodes_.begin(), nodes_.end(), [](NodePart& part) { return part.node->has_ended(); });
    if (!all && now < phase_until_) return;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      PlayedNode& node = *nodes_[i].node;
      if (!node.has_ended()) {
        audit_.broken("end", report_.nodes[i].name + " did not end after SIGTERM");
      } else if (node.status() != 0 && !crashed_.contains(i)) {
        audit_.broken("crash", report_.nodes[i].name + " ended with " + std::to_string(node.status()));
      }
      if (node.stray_answers() > 0)
        audit_.broken("answer", report_.nodes[i].name + " answered what nobody asked");
    }
    over();
  }

  void over() {
    phase_ = Phase::kOver;
    io_.stop();
  }

  void fail(const std::string& why) {
    failure_ = why;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const std::string log = nodes_[i].node->log();
      if (nodes_[i].node->has_ended()) failure_ += "\n" + report_.nodes[i].name + ": " + log;
    }
    over();
  }

  // What was open then is nobody's fault.
  void cut_off() {
    report_.cut_off = true;
    report_.seconds = phase_ == Phase::kStarting ? 0 : clock_.now() - first_call_;
    for (const auto& callers : callers_) callers->stop();
    change_.cancel();
    options_.progress("cut off", report_.seconds);
    end_nodes();
  }

  void tick(double due) {
    tick_.expires_at(clock_.at(due));
    tick_.async_wait([this, due](error_code cancelled) {
      if (cancelled) return;
      const double now = clock_.now(), late = now - due;
      report_.worst_own_lateness = std::max(report_.worst_own_lateness, late);
      if (late >= lateness_ || now > late_until_) {
        lateness_ = late;
        late_until_ = now + kLateFor;
      }
      audit_.set_own_lateness(lateness_);
      look_for_crashes();
      look_on();
      if (phase_ != Phase::kOver) tick(clock_.now() + kTick);
    });
  }

  void look_for_crashes() {
    if (phase_ == Phase::kEnding || phase_ == Phase::kOver) return;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      PlayedNode& node = *nodes_[i].node;
      if (!node.has_ended() || !crashed_.insert(i).second) continue;
      audit_.broken("crash",
                    report_.nodes[i].name + " ended by itself with " + std::to_string(node.status()));
      if (phase_ == Phase::kStarting) return fail("a node ended as it started");
    }
  }

  void finish_report() {
    if (!report_.cut_off) audit_.close(clock_.now());
    add_calls(audit_, first_call_, report_);
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& time) {
      return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    report_.own_cpu = seconds(used.ru_utime) + seconds(used.ru_stime);
    report_.own_memory_mb = static_cast<double>(used.ru_maxrss) / 1e3;
    for (const Tier& tier : tiers_) {
      for (const auto& server : tier.servers) {
        ServerResult& result = report_.servers[server->number()];
        result.connections = server->connections_accepted();
        result.work = server->model().work_done();
      }
    }
  }

  // ---------------------------------------------------------------- changes

  void wait_for_change() {
    if (next_change_ == experiment_.changes.size()) return;
    change_.expires_at(clock_.at(first_call_ + experiment_.changes[next_change_].at));
    change_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      make(experiment_.changes[next_change_++]);
      wait_for_change();
    });
  }

  void later(double seconds, std::function<void()> what) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(seconds));
    timer->async_wait([timer, what = std::move(what)](error_code cancelled) {
      if (!cancelled) what();
    });
  }

  void make(const Change& change) {
    const std::string kind = name_of(change.kind);
    options_.progress(kind + (change.server.empty() ? "" : " " + change.server), clock_.now() - first_call_);
    if (!change.server.empty()) return change_server(change);
    for (NodePart& part : nodes_) change_agent(change, *part.agent, part.node->zone());
    if (change.kind == Change::Kind::kCut) {
      cut_zone_ = change.zone;
      later(change.seconds, [this] { cut_zone_.clear(); });
    }
  }

  void change_server(const Change& change) {
    using Kind = Change::Kind;
    ServerStandIn* server = server_of(change.server);
    Tier* tier = nullptr;
    for (Tier& each : tiers_) {
      const auto is_it = [server](const auto& one) { return one.get() == server; };
      if (std::any_of(each.servers.begin(), each.servers.end(), is_it)) tier = &each;
    }
    report_.servers[server->number()].changes.push_back({name_of(change.kind), change.at});
    ServerModel& model = server->model();
    const auto tell = [this, tier, server](const std::string& status, std::int64_t since_ms) {
      const auto known = tier->catalog.entries().find(server->name());
      const bool is_known = known != tier->catalog.entries().end();
      Entry entry{server->name(), "", zone_of(*server), status, since_ms};
      if (is_known && since_ms == 0) entry.since_ms = known->second.since_ms;
      // A server that has gone has no address any more, but the last that was told of.
      if (server->is_up()) {
        entry.address = server->address();
      } else if (is_known) {
        entry.address = known->second.address;
      } else {
        return;
      }
      publish(*tier, entry);
    };
    switch (change.kind) {
      case Kind::kHang:
        return model.set_hanging(true);
      case Kind::kSlow:
        return model.set_speed(change.factor);
      case Kind::kFail:
        return model.set_failing(true);
      case Kind::kMend:
        model.set_hanging(false);
        model.set_failing(false);
        return model.set_speed(1);
      case Kind::kCrash:
        server->crash();
        return later(kGoneAfterCrash, [tell, server] {
          if (!server->is_up()) tell("removed", 0);
        });
      case Kind::kStart:
        server->start();
        return tell("up", unix_ms());
      case Kind::kDrain:
        return tell("draining", 0);
      default:
        return tell("removed", 0);
    }
  }

  void publish(Tier& tier, const Entry& entry) {
    tier.catalog.set(entry);
    if (&tier == &tiers_.front()) published_[tier.catalog.index()] = clock_.now();
    for (NodePart& part : nodes_) {
      if (&tiers_[static_cast<std::size_t>(part.tier)] == &tier) part.agent->send(tier.catalog);
    }
  }

  // Hollow nodes stand in the first tier alone. A version that they knew from before tells nothing.
  void in_force(std::uint64_t index) {
    const auto at = published_.find(index);
    if (at != published_.end()) report_.times_in_force.push_back(clock_.now() - at->second);
  }

  void change_agent(const Change& change, Agent& agent, const std::string& zone) {
    using Kind = Change::Kind;
    switch (change.kind) {
      case Kind::kSilence:
        agent.set_silent(true);
        return later(change.seconds, [&agent] { agent.set_silent(false); });
      case Kind::kReset:
        return agent.reset_watches();
      case Kind::kStall:
        return agent.stall_watches();
      case Kind::kLate:
        return agent.set_delay(change.seconds);
      case Kind::kCut:
        if (zone != change.zone) return;
        agent.set_cut_off(true);
        return later(change.seconds, [&agent] { agent.set_cut_off(false); });
      default:
        return;
    }
  }

  const Experiment& experiment_;
  const PlayOptions& options_;
  Report report_;
  asio::io_context io_;
  Clock clock_;
  asio::signal_set signals_;
  asio::steady_timer tick_, change_;
  Audit audit_;
  std::vector<Tier> tiers_;
  std::map<std::string, ServerStandIn*> by_name_;
  std::map<std::uint64_t, double> published_;  // when discovery had a version of the first tier's list
  std::vector<NodePart> nodes_;
  std::vector<std::unique_ptr<Callers>> callers_;
  Phase phase_ = Phase::kStarting;
  double phase_until_ = 0, first_call_ = 0, lateness_ = 0, late_until_ = 0;
  std::size_t ready_ = 0, asked_ = 0, next_change_ = 0;
  std::set<std::size_t> crashed_;
  std::string cut_zone_, failure_;
};

// What the node's own code says of hollow nodes goes into a file, beside the logs of real ones.
class Logs {
 public:
  explicit Logs(const std::string& path) : file_(path), before_(std::clog.rdbuf(file_.rdbuf())) {}
  ~Logs() { std::clog.rdbuf(before_); }
  Logs(const Logs&) = delete;
  Logs& operator=(const Logs&) = delete;

 private:
  std::ofstream file_;
  std::streambuf* before_;
};

}  // namespace

Report play(const Experiment& experiment, const PlayOptions& options) {
  const Logs logs(options.folder + "/hollow.log");
  return Play(experiment, options).run();
}

}  // namespace nettleyoke::lab
