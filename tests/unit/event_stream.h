/// @file
/// Random event streams for replicas of the balancer: simulated clients send requests, and simulated servers
/// process the attempts. All randomness comes from one seed and plain arithmetic, so that a stream is the
/// same on every platform as long as the decisions of the balancer are the same.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "nettleyoke/balancer.h"

namespace nettleyoke::stream {

// splitmix64 with its own mapping to ranges, because the standard distributions differ between libraries.
class StreamRandom {
 public:
  explicit StreamRandom(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next();
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  double between(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double probability) { return unit() < probability; }
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(unit() * static_cast<double>(count));
  }

 private:
  std::uint64_t state_;
};

// A period of a stream with constant load and faults.
struct Phase {
  double seconds = 10;
  double arrival_rate = 100;        // requests/s, over all simulated replicas
  double slowdown = 1;              // multiplies the service time of all servers
  double failure_rate = 0.01;       // fraction of the attempts that fail, at all servers
  bool has_failing_server = false;  // most attempts at the first listed server fail
  bool has_slow_server = false;     // the second listed server takes four times as long
  bool discovery_fails = false;     // most polls and watches of the membership fail
  double last_tenant_share = 0;     // additional fraction of the requests that the last tenant sends
  double anomaly_rate = 0.02;       // probability of an invalid or repeated request or event
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Settings settings;         // replica_index is set for each replica
  Settings replacement;      // in force for the middle third of the stream
  std::size_t replicas = 1;  // simulated ones, out of settings.replica_count
  int servers = 6, zones = 1, cells = 1;
  double service_time = 0.08;  // s, at an idle server
  double slots = 4;            // requests that a server processes at once without slowing down
  double change_every = 2;     // s between changes of the membership
  bool restarts = false;       // servers start and restart during the stream
  std::vector<Phase> phases;
};

// Servers that slow down under load, fail, drain, are removed and restart.
class SimulatedServers {
 public:
  struct AttemptEnd {
    Outcome outcome = Outcome::kSucceeded;
    double elapsed = 0;
  };
  SimulatedServers(const Scenario& scenario, StreamRandom& random);

  // Begins an attempt at a server, with `work` seconds in addition to the service time. Returns the outcome
  // and the duration that the attempt has if it is neither timed out nor cancelled.
  AttemptEnd begin_attempt(const std::string& address, double now, const Phase& phase, double work);
  void finish_attempt(const std::string& address) { load_[address] -= 1; }
  // Changes one random server. The update lists it and some unchanged servers.
  MembershipUpdate change_server(double now);
  MembershipUpdate full_list() const { return {MembershipUpdate::Form::kFull, listed_}; }
  // The address that the next new server will have.
  std::string next_server_address() const { return "server-" + std::to_string(created_); }
  const std::string& random_address() { return listed_[random_.below(listed_.size())].address; }

 private:
  Server new_server(double started);
  double capacity(const Server& server, double now) const;
  Outcome random_failure();

  const Scenario& scenario_;
  StreamRandom& random_;
  std::vector<Server> listed_;
  std::map<std::string, double> load_;
  int created_ = 0;
};

// Runs the replicas of one scenario through all of its phases.
class EventStream {
 public:
  // Called after each event with the actions of the replica.
  using Listener = std::function<void(double now, std::size_t replica, const Balancer& balancer,
                                      const Event& event, const std::vector<Action>& actions)>;
  EventStream(const Scenario& scenario, Listener listener);
  void run();

 private:
  struct SimulatedAttempt {
    std::string server;
    double sent_at = 0;
    bool open = true;
  };
  struct Client {
    Request request;
    std::vector<SimulatedAttempt> attempts;
    bool streams_response = false;
    bool answered = false;  // its response or final answer has started
  };
  struct Task {
    double at = 0;
    std::uint64_t sequence = 0;
    std::function<void()> work;
    bool operator<(const Task& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void schedule(double after, std::function<void()> work);
  const Phase& current_phase() const;
  // Reports an event to a replica and executes its actions.
  void notify(std::size_t replica, const Event& event);
  void notify_all(const Event& event);

  void arrive();
  Request draw_request();
  void send_request(std::size_t replica, const Request& request);
  void schedule_cancellation(std::size_t replica, const Request& request);
  void send_stray_events(std::size_t replica);

  void execute(std::size_t replica, const StartAttempt& started);
  void execute(std::size_t replica, const Reject& rejection);
  void execute(std::size_t replica, const Fail& failure);
  void execute(std::size_t replica, const CancelAttempt& cancel);
  void execute(std::size_t replica, const SetTimer& timer);
  void execute(std::size_t replica, const WatchMembership& watch);
  void execute(std::size_t, const LogLine&) {}
  void end_attempt(std::size_t replica, const std::string& id, int attempt, Outcome outcome);
  void start_response(std::size_t replica, const std::string& id, int attempt, double body_seconds);
  SimulatedAttempt* find_open_attempt(std::size_t replica, const std::string& id, int attempt);

  void change_membership();
  // Disables a server and schedules that it is enabled again.
  void disable_server();
  void replace_settings(const Settings& settings);

  const Scenario& scenario_;
  Listener listener_;
  StreamRandom random_;
  SimulatedServers servers_;
  std::vector<Balancer> balancers_;
  // By replica. The maps are never iterated, because their order differs between platforms.
  std::vector<std::unordered_map<std::string, Client>> clients_;
  std::priority_queue<Task> tasks_;
  double now_ = 0, duration_ = 0;  // s
  std::uint64_t sequence_ = 0, requests_ = 0;
};

}  // namespace nettleyoke::stream
