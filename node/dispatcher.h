// Stands between the module and the sockets: turns what happens into events, and actions into calls. It
// decides nothing; but it alone sees to it that each request it took gets exactly one final answer in time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "discovery/discovery_client.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

// A request's final answer.
struct FinalAnswer {
  enum class Kind { kServed, kRejected, kFailed };
  Kind kind = Kind::kFailed;
  double retry_after = 0;                    // refused: when to come back; 0: no advice
  HttpResponse response;                     // served: the server's
  std::shared_ptr<BodyPipe> body = nullptr;  // served: what the response does not hold, as it comes
};

class Dispatcher {
 public:
  using AnswerTo = std::function<void(FinalAnswer&&)>;

  // `watch` asks discovery anew.
  Dispatcher(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
             std::size_t max_open, UpstreamClient& upstream, std::function<void()> watch);

  // The list that is known from before, if any, then the start.
  void start(const EndpointList& known);
  bool can_serve() const { return ready_ > 0; }
  // Whether discovery has told anything yet, beside what is known from before.
  bool has_list() const { return has_list_; }
  bool is_listed(const std::string& server) const { return listed_.contains(server); }
  std::size_t listed_servers() const { return listed_.size(); }
  std::size_t unavailable_servers() const { return balancer_.unavailable_servers(clock_.now()); }
  // Other settings, which can be used: the module holds them valid.
  void replace_settings(const Settings& settings, std::size_t max_open);
  // The servers that operators have taken out, listed or not.
  void set_disabled_servers(const std::set<std::string>& servers);

  // Takes a request whose client waits until `event.time_left` from now. The answer may come at once.
  void accept(Request event, std::shared_ptr<const OutgoingRequest> message, AnswerTo answer_to);
  // The last byte of a request whose body was still coming has come; its time runs from here.
  void on_body_complete(const std::string& id);
  // Whether a request of this id is open, or has attempts out.
  bool is_open(const std::string& id) const { return held_.contains(id); }
  void on_client_disconnected(const std::string& id);
  // The process is to end: every request that is open then, or comes later, has its answer so many s from
  // now.
  void bound_answers(double seconds);
  // What discovery tells, that it is there though it may have nothing to tell, and that it has stopped.
  void on_endpoint_list(const EndpointList& update);
  void on_watch_alive();
  void on_watch_failed();

 private:
  struct Held {
    std::shared_ptr<const OutgoingRequest> message;
    AnswerTo answer_to;    // empty once the final answer is out, or nobody waits for it
    double until = 0;      // when attempts end, a margin before the client gives up
    double time_left = 0;  // from the last byte of the request
    std::unique_ptr<boost::asio::steady_timer> guard;
    std::vector<AttemptHandle> attempts;
    std::vector<bool> open;
    std::vector<std::string> servers;  // of the attempts
    double since = 0;                  // when it was taken
    std::string path;                  // for the log: how each attempt ended, and the request
    bool went_badly = false;
    bool over() const { return !answer_to; }
    bool any_open() const;
  };

  bool is_usable(const Endpoint& member) const {
    return member.server.state == ServerState::kReady && !out_.contains(member.server.address);
  }
  void members(const EndpointList& update);
  void count_ready();
  void happen(Event event);
  void handle(const Event& event);
  void answer_begins(const std::string& id, int attempt, HttpResponse&& head, std::shared_ptr<BodyPipe> body,
                     double elapsed);
  void attempt_ended(const std::string& id, int attempt, Outcome outcome, HttpResponse&& response,
                     double elapsed);
  void run_clock(const std::string& id, Held& held);
  void end_by(const std::string& id, Held& held, double end);
  void answer(Held& held, FinalAnswer&& answer);
  void withdraw(const std::string& id);
  void settle(const std::string& id);
  void log_path(const std::string& id, const Held& held);
  void overdue(const std::string& id);

  void perform(const StartAttempt& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const CancelAttempt& action);
  void perform(const SetTimer& action);
  void perform(const WatchMembership& action);
  void perform(const LogLine& action);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Balancer balancer_;
  bool must_watch_;
  std::minstd_rand jitter_;
  std::size_t max_open_;
  double busy_retry_after_;
  UpstreamClient& upstream_;
  std::function<void()> watch_;
  std::unordered_map<std::string, Held> held_;
  std::unordered_map<std::string, Endpoint> listed_;
  std::set<std::string> out_;  // by hand
  std::size_t ready_ = 0;      // that may get work
  bool has_list_ = false;
  int failures_ = 0;                       // of watches, since one brought anything
  boost::asio::steady_timer watch_again_;  // after the last of them
  std::deque<Event> events_;
  double last_answer_ = std::numeric_limits<double>::infinity();  // of a process that is to end
  bool handling_ = false, failed_ = false, module_failed_ = false;
  double paths_since_ = 0;  // when the count of logged paths began, anew each second
  int paths_ = 0;
};

}  // namespace nettleyoke::node
