// What happened to every call, as callers, servers and discovery saw it, and the rules that nodes must keep.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "run/experiment.h"

namespace nettleyoke::lab {

// How a call ended, as its caller saw it.
enum class Ending {
  kOpen,
  kServed,
  kRefused,
  kFailed,
  kClosed,  // the node closed its connection with no whole answer
  kLeft,    // the caller closed first
  kLost     // no final answer in its time
};

// How an attempt ended, as its server saw it.
enum class AttemptEnd {
  kOut,
  kServed,
  kError,
  kTurnedAway,
  kGivenUp,  // the node closed its connection
  kCut       // the server reset it
};

class Audit {
 public:
  struct Rules {
    double answer_slack = 0, drain_grace = 0;
    bool allow_hedging = false;
    std::vector<ClassPlan> classes;
  };
  struct Attempt {
    std::size_t server = 0;
    double arrived = 0, ended = 0;
    AttemptEnd how = AttemptEnd::kOut;
    std::function<bool()> is_open;  // whether its node could still get an answer; empty once it has ended
  };
  struct Call {
    std::size_t node = 0, request_class = 0;
    double sent = 0, time = 0, ended = 0;
    Ending ending = Ending::kOpen;
    std::vector<Attempt> attempts;
  };
  using AttemptNumber = std::size_t;

  explicit Audit(Rules rules) : rules_(std::move(rules)) {}

  // Nodes and servers have the numbers in which they were added.
  std::size_t add_node(const std::string& name);
  std::size_t add_server(const std::string& name);
  const std::vector<std::string>& nodes() const { return nodes_; }
  const std::vector<std::string>& servers() const { return servers_; }

  // How late the lab itself was lately, in s: no node answers for that.
  void set_own_lateness(double seconds) { own_lateness_ = seconds; }

  // From callers. `time`: how long the client gives.
  void call_sent(const std::string& id, std::size_t node, std::size_t request_class, double time, double now);
  void call_ended(const std::string& id, Ending ending, double now);
  // Until when its final answer is one.
  double latest_answer(double sent, double time) const { return sent + time + rules_.answer_slack; }

  // From servers, once the last byte of an attempt has come. False: no caller sent such a call.
  bool attempt_arrived(const std::string& id, std::size_t server, double now, std::function<bool()> is_open,
                       AttemptNumber& number);
  void attempt_ended(const std::string& id, AttemptNumber number, AttemptEnd how, double now);

  // From discovery: from `at` on a node counts as told that a server may get new work, or must not.
  void told(std::size_t node, const std::string& server, bool usable, double at);

  // Anything else that must not be.
  void broken(const std::string& rule, const std::string& what);

  // No more calls come and none is open any more: one that still is has had no final answer.
  void close(double now);

  const std::unordered_map<std::string, Call>& calls() const { return calls_; }
  std::size_t open_calls() const { return open_; }
  const std::map<std::string, std::size_t>& breaks() const { return breaks_; }  // how often each rule broke
  const std::vector<std::string>& first_breaks() const { return first_breaks_; }
  // The longest that a server got something new after a node counted as told that it must not, in s.
  const std::map<std::size_t, double>& latest_after_told() const { return latest_after_told_; }

 private:
  void look_for_second_copy(const std::string& id, Call& call, double now);
  void look_for_repeat(const std::string& id, const Call& call, double now);
  void look_for_end(const std::string& id, const Call& call, double now);
  void look_for_drain(const std::string& id, const Call& call, std::size_t server, double now);

  Rules rules_;
  std::vector<std::string> nodes_, servers_;
  std::vector<std::map<std::string, double>> barred_;  // by node: servers that get nothing new from then on
  std::unordered_map<std::string, Call> calls_;
  std::size_t open_ = 0, closed_ = 0, sent_after_left_ = 0;
  double own_lateness_ = 0;
  std::map<std::size_t, double> latest_after_told_;
  std::map<std::string, std::size_t> breaks_;
  std::vector<std::string> first_breaks_;
};

}  // namespace nettleyoke::lab
