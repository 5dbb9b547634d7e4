/// @file
/// Connects the decision library with the network code: reports network activity as events and executes
/// actions. It makes no decisions of its own, but it ensures that each accepted request gets exactly one
/// final answer in time.
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
#include "takeover/sent_requests.h"
#include "upstream/upstream_client.h"

namespace nettleyoke::node {

/// How long requests may take once the process is to end, in seconds from then.
struct ShutdownLimits {
  double received = 0;  ///< for requests whose last byte arrived before
  double arriving = 0;  ///< for all others; those that are still incomplete then are rejected
};

class Dispatcher : private ActionExecutor, private MembershipTracker::Observer {
 public:
  /// @param max_open_requests the most requests in flight; further requests are rejected
  /// @param start_watch polls discovery or opens a watch
  /// @throws std::invalid_argument if the settings are invalid
  Dispatcher(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
             std::size_t max_open_requests, UpstreamClient& upstream, SentRequests& sent_requests,
             std::function<void()> start_watch);

  /// Applies the initial endpoint list unless it is empty, then starts the decision library. Opens the first
  /// watch if discovery pushes lists.
  void start(const EndpointList& initial_endpoint_list);
  bool can_serve() const { return membership_.usable_servers() > 0; }
  /// Whether discovery has sent an endpoint list. The initial endpoint list does not count.
  bool has_received_endpoint_list() const { return has_received_endpoint_list_; }
  bool is_listed(const std::string& server) const { return membership_.is_listed(server); }
  std::size_t listed_servers() const { return membership_.listed_servers(); }
  std::size_t unavailable_servers() const { return decision_loop_.unavailable_servers(); }
  /// @param settings must be valid for the decision library
  void replace_settings(const Settings& settings, std::size_t max_open_requests);
  /// Replaces the set of servers that operators have disabled. They need not be listed.
  void set_disabled_servers(const std::set<std::string>& servers);

  /// Accepts a request whose client gives up `event.time_left` s after the request's last byte. The callback
  /// may run within this call.
  void accept(Request event, std::shared_ptr<const OutgoingRequest> message, AnswerCallback callback);
  /// The last byte of a request body that was still arriving has arrived.
  /// @param last_byte_at when the request's time starts
  void on_body_complete(const std::string& id, Clock::Steady::time_point last_byte_at);
  /// Rejects a request whose body is not complete and whose time may be over nevertheless.
  void reject_incomplete(const std::string& id);
  /// Whether the request with this id has no final answer yet or still has attempts in flight.
  bool is_open(const std::string& id) const { return in_flight_requests_.contains(id); }
  void on_client_disconnected(const std::string& id);
  /// Whether a request with this id may have run before and its client may not have got the answer. The id
  /// must not be sent again unless the request is idempotent.
  [[nodiscard]] bool may_have_run_before(const std::string& id) {
    return sent_requests_.contains(id, Clock::Steady::now());
  }
  /// The node ends a streamed response because its client takes nothing. Only logged.
  void on_client_stalled(const std::string& id, const ClientStall& stall) {
    request_log_.write_client_stall(id, stall, clock_.now());
  }
  /// The client has the answer to the request with this id.
  void on_answer_received(const std::string& id) { sent_requests_.remove(id); }
  /// Called when the process is to end: every open request and every request accepted later gets its final
  /// answer within these limits.
  void answer_all_within(const ShutdownLimits& limits);
  /// Discovery has sent a complete endpoint list or changes to it.
  void on_endpoint_list(const EndpointList& update);
  /// A watch has received its first data, which may be an empty line.
  void on_watch_alive();
  /// A watch or poll has ended.
  void on_watch_failed();

 private:
  void on_server_listed(const Endpoint& endpoint, bool usable) override;
  void on_server_removed(const std::string& name) override;
  void apply_endpoint_list(const EndpointList& update);

  [[nodiscard]] InFlightRequest* find(const std::string& id);
  [[nodiscard]] InFlightRequest* find_unanswered(const std::string& id);
  void start_deadline(const std::string& id, InFlightRequest& request, double last_byte_at);
  void set_deadline(const std::string& id, InFlightRequest& request, double client_deadline);
  void on_fallback_timer(const std::string& id);
  void answer_and_cancel(const std::string& id, FinalAnswer&& answer);
  void cancel_request(const std::string& id);
  void reject_incomplete_requests();
  void answer_and_settle(const std::string& id, FinalAnswer&& answer);
  void withdraw_undelivered_attempts(const InFlightRequest& request);
  void erase_if_settled(const std::string& id);

  AttemptCallbacks callbacks_of(const std::string& id, std::size_t attempt);
  void on_response_started(const std::string& id, std::size_t attempt, HttpResponse&& head,
                           std::shared_ptr<BodyPipe> body, double elapsed);
  void on_attempt_ended(const std::string& id, std::size_t attempt, const AttemptEnd& end,
                        HttpResponse&& response);
  [[nodiscard]] bool may_retry_incomplete_response(const std::string& id);

  void execute(const StartAttempt& action) override;
  void execute(const Reject& action) override;
  void execute(const Fail& action) override;
  void execute(const CancelAttempt& action) override;
  void execute(const SetTimer& action) override;
  void execute(const WatchMembership& action) override;
  void execute(const LogLine& action) override;
  void on_decision_failed(const std::exception& error) override;
  void on_execution_failed(const std::exception& error) override;
  void after_failed_decision(const Event& event) override;

  boost::asio::io_context& io_;
  const Clock& clock_;
  DecisionLoop decision_loop_;
  bool must_watch_;  // true: the decision library requests each poll; false: discovery pushes lists
  RewatchPauses rewatch_pauses_;
  std::size_t max_open_requests_;
  double overflow_retry_after_;  // s; for requests beyond max_open_requests_
  UpstreamClient& upstream_;
  SentRequests& sent_requests_;
  std::function<void()> start_watch_;
  std::unordered_map<std::string, InFlightRequest> in_flight_requests_;
  MembershipTracker membership_;
  bool has_received_endpoint_list_ = false;
  boost::asio::steady_timer rewatch_timer_;
  double answers_due_at_ = std::numeric_limits<double>::infinity();  // ShutdownLimits::arriving
  boost::asio::steady_timer answers_due_timer_;
  bool has_logged_execution_failure_ = false;
  bool has_logged_decision_failure_ = false;
  RequestLog request_log_;
};

}  // namespace nettleyoke::node
