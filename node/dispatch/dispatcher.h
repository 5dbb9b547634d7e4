/// @file
/// Stands between the decision library and the sockets: turns what happens into events, and actions into
/// calls. It decides nothing; but it alone ensures that each accepted request gets exactly one final answer
/// in time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "clock.h"
#include "discovery/endpoint_list.h"
#include "dispatch/decision_loop.h"
#include "dispatch/final_answer.h"
#include "dispatch/in_flight_request.h"
#include "dispatch/membership_tracker.h"
#include "dispatch/request_log.h"
#include "dispatch/rewatch_pauses.h"
#include "http/message.h"
#include "nettleyoke/balancer.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

class Dispatcher : private ActionExecutor, private MembershipTracker::Observer {
 public:
  /// @param max_open_requests requests that may be in flight; others are rejected
  /// @param watch polls discovery, or watches it anew
  /// @throws std::invalid_argument when the settings cannot be used.
  Dispatcher(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
             std::size_t max_open_requests, UpstreamClient& upstream, std::function<void()> watch);

  /// Takes the endpoint list that is known from before, if any, and starts.
  void start(const EndpointList& known);
  bool can_serve() const { return membership_.usable_servers() > 0; }
  /// Whether discovery has sent any list, beside what is known from before.
  bool has_list() const { return has_list_; }
  bool is_listed(const std::string& server) const { return membership_.is_listed(server); }
  std::size_t listed_servers() const { return membership_.listed_servers(); }
  std::size_t unavailable_servers() const { return decisions_.unavailable_servers(); }
  /// @param settings that can be used: the decision library holds them valid
  void replace_settings(const Settings& settings, std::size_t max_open_requests);
  /// The servers that operators have disabled, listed or not.
  void set_disabled_servers(const std::set<std::string>& servers);

  /// Takes a request whose client waits until `event.time_left` from now. The answer may come at once.
  void accept(Request event, std::shared_ptr<const OutgoingRequest> message, AnswerCallback callback);
  /// The last byte of a request whose body was still arriving has come; its time runs from here.
  void on_body_complete(const std::string& id);
  /// Whether a request of this id is open, or has attempts in flight.
  bool is_open(const std::string& id) const { return in_flight_requests_.contains(id); }
  void on_client_disconnected(const std::string& id);
  /// The process is to end: every request that is open then, or comes later, has its answer within this time.
  /// @param seconds from now
  void bound_answers(double seconds);
  /// What discovery sends, that it is there though it may have nothing to send, and that it has stopped.
  void on_endpoint_list(const EndpointList& update);
  void on_watch_alive();
  void on_watch_failed();

 private:
  void on_server_listed(const Endpoint& endpoint, bool usable) override;
  void on_server_removed(const std::string& name) override;
  void apply_endpoint_list(const EndpointList& update);

  [[nodiscard]] InFlightRequest* find(const std::string& id);
  [[nodiscard]] InFlightRequest* find_unanswered(const std::string& id);
  void start_clock(const std::string& id, InFlightRequest& request);
  void set_end(const std::string& id, InFlightRequest& request, double end);
  void on_overdue(const std::string& id);
  void answer_and_settle(const std::string& id, FinalAnswer&& answer);
  void withdraw_unsent_attempts(const InFlightRequest& request);
  void erase_if_settled(const std::string& id);

  AttemptCallbacks callbacks_of(const std::string& id, std::size_t attempt);
  void on_response_started(const std::string& id, std::size_t attempt, HttpResponse&& head,
                           std::shared_ptr<BodyPipe> body, double elapsed);
  void on_attempt_ended(const std::string& id, std::size_t attempt, Outcome outcome, HttpResponse&& response,
                        double elapsed);

  void execute(const StartAttempt& action) override;
  void execute(const Reject& action) override;
  void execute(const Fail& action) override;
  void execute(const CancelAttempt& action) override;
  void execute(const SetTimer& action) override;
  void execute(const WatchMembership& action) override;
  void execute(const LogLine& action) override;
  void on_decision_failed(const std::exception& problem) override;
  void on_execution_failed(const std::exception& problem) override;
  void after_failed_decision(const Event& event) override;

  boost::asio::io_context& io_;
  const Clock& clock_;
  DecisionLoop decisions_;
  bool must_watch_;  // the decision library asks for each poll; else lists are pushed
  RewatchPauses rewatch_pauses_;
  std::size_t max_open_requests_;
  double overflow_retry_after_;  // s; what a request beyond `max_open_requests_` is advised
  UpstreamClient& upstream_;
  std::function<void()> watch_;
  std::unordered_map<std::string, InFlightRequest> in_flight_requests_;
  MembershipTracker membership_;
  bool has_list_ = false;
  boost::asio::steady_timer rewatch_timer_;
  double last_answer_at_ = std::numeric_limits<double>::infinity();  // of a process that is to end
  bool has_logged_execution_failure_ = false;
  bool has_logged_decision_failure_ = false;
  RequestLog request_log_;
};

}  // namespace nettleyoke::node
