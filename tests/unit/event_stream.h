// Streams of events as replicas of the balancer meet them: drawn requests, and simulated servers that answer
// the attempts. All is drawn from one seed with plain arithmetic, so that a stream is the same on every
// platform for as long as the balancer decides the same.
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

// splitmix64 with its own mapping to ranges: the standard distributions differ between libraries.
class DrawSource {
 public:
  explicit DrawSource(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next();
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  double between(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double part) { return unit() < part; }
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(unit() * static_cast<double>(count));
  }

 private:
  std::uint64_t state_;
};

// A part of a stream in which load and servers behave alike.
struct Phase {
  double seconds = 10;
  double arrivals = 100;         // requests a second, over all replicas that are driven
  double slowness = 1;           // multiple of the usual service time, at all servers
  double failing = 0.01;         // part of the attempts that end badly, at any server
  bool has_sick_server = false;  // most attempts at one of the servers end badly
  bool has_slow_server = false;  // one of the servers takes four times as long
  bool discovery_fails = false;  // asking for the members fails, mostly
  double flood = 0;              // part of the requests that belong to the last tenant of the settings
  double odd = 0.02;             // part of the requests that are out of range or come twice
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Settings settings;         // replica_index is set for each replica
  Settings replacement;      // holds for the middle third of the stream
  std::size_t replicas = 1;  // that are driven, out of settings.replica_count
  int servers = 6, zones = 1, cells = 1;
  double service_time = 0.08;  // s; of an idle server
  double slots = 4;            // requests that a server works on without slowing down
  double change_every = 2;     // s; between changes of membership
  bool restarts = false;       // servers start in the stream, and start again
  std::vector<Phase> phases;
};

// Servers that slow down under load, fail, drain, leave and start again.
class SimulatedServers {
 public:
  struct End {
    Outcome outcome = Outcome::kSucceeded;
    double elapsed = 0;
  };
  SimulatedServers(const Scenario& scenario, DrawSource& draw);

  // An attempt arrives at a server; returns how it will end if nobody gives it up before.
  End begin(const std::string& address, double now, const Phase& phase, double work);
  void finish(const std::string& address) { load_[address] -= 1; }
  // Changes one server; the result names it and of some that did not change.
  MembershipUpdate change(double now);
  MembershipUpdate full() const { return {MembershipUpdate::Form::kFull, listed_}; }
  // Of the server that will be listed next.
  std::string next_address() const { return "server-" + std::to_string(created_); }
  const std::string& any_address() { return listed_[draw_.below(listed_.size())].address; }

 private:
  Server fresh_server(double started);
  double capacity(const Server& server, double now) const;
  Outcome bad_outcome();

  const Scenario& scenario_;
  DrawSource& draw_;
  std::vector<Server> listed_;
  std::map<std::string, double> load_;
  int created_ = 0;
};

// Drives the replicas of one scenario through all of its phases.
class EventStream {
 public:
  // Called after each event, with what the replica said to it.
  using Listener = std::function<void(double now, std::size_t replica, const Balancer& balancer,
                                      const Event& event, const std::vector<Action>& actions)>;
  EventStream(const Scenario& scenario, Listener listener);
  void run();

 private:
  struct OpenAttempt {
    std::string server;
    double sent = 0;
    bool open = true;
  };
  struct Client {
    Request request;
    std::vector<OpenAttempt> attempts;
    bool streams = false, answered = false;
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
  const Phase& phase() const;
  void notify(std::size_t replica, const Event& event);
  void notify_all(const Event& event);

  void arrive();
  Request draw_request();
  void come(std::size_t replica, const Request& request);
  void schedule_departure(std::size_t replica, const Request& request);
  void send_strays(std::size_t replica);

  void obey(std::size_t replica, const StartAttempt& send);
  void obey(std::size_t replica, const Reject& refuse);
  void obey(std::size_t replica, const Fail& fail);
  void obey(std::size_t replica, const CancelAttempt& cancel);
  void obey(std::size_t replica, const SetTimer& timer);
  void obey(std::size_t replica, const WatchMembership& watch);
  void obey(std::size_t, const LogLine&) {}
  void end(std::size_t replica, const std::string& id, int attempt, Outcome outcome);
  void start_answer(std::size_t replica, const std::string& id, int attempt, double more);
  OpenAttempt* open_attempt(std::size_t replica, const std::string& id, int attempt);

  void change_membership();
  void switch_server();
  void replace_settings(const Settings& settings);

  const Scenario& scenario_;
  Listener listener_;
  DrawSource draw_;
  SimulatedServers servers_;
  std::vector<Balancer> balancers_;
  std::vector<std::unordered_map<std::string, Client>> clients_;  // by replica; looked up, never walked
  std::priority_queue<Task> tasks_;
  double now_ = 0, length_ = 0;
  std::uint64_t sequence_ = 0, requests_ = 0;
};

}  // namespace nettleyoke::stream
