/// @file
/// Events: what the host reports to a Balancer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The replica has started. This is the first event; a replica that must watch the membership responds
/// with WatchMembership.
struct Started {};

/// A request from a client needs a server.
struct Request {
  std::string id;                 ///< Unique among the open requests.
  std::size_t tenant = 0;         ///< Index into Settings::tenants.
  std::size_t request_class = 0;  ///< Index into Settings::classes.
  double time_left = 0;           ///< s until the client times out.
  std::optional<double> work;     ///< Announced work, s on a standard core.
  bool is_client_retry = false;   ///< The client marked it as a client retry.
  bool body_in_progress = false;  ///< The body is still arriving; RequestBodyComplete reports its last byte.
};

/// The last byte of a request's body has arrived. The time limit of the request and the latencies of its
/// attempts count from now, because no server can process the request earlier.
struct RequestBodyComplete {
  std::string id;
};

/// How an attempt ended.
enum class Outcome {
  kSucceeded,      ///< The server sent a response for the client.
  kServerError,    ///< The server responded with an error.
  kRejected,       ///< The server rejected it unprocessed: it is full or draining.
  kTimedOut,       ///< No response before the timeout.
  kConnectFailed,  ///< No connection was established.
  kReset,          ///< The connection broke while the attempt was in flight.
  kCancelled,      ///< Cancelled by CancelAttempt.
  kNotSent,        ///< It was never sent.
  kUnknown         ///< Anything else. It may have run.
};

/// The response of an attempt has started to arrive and is streamed to the client, so that the request can no
/// longer be retried. The server has done the work: the attempt no longer counts as in flight.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;  ///< s since the attempt was sent.
};

/// An attempt has ended. Each StartAttempt leads to exactly one result.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;              ///< s since the attempt was sent.
  bool request_completed = false;  ///< The client needs no further attempt and no other final answer.
  bool body_consumed = false;  ///< The request cannot be sent again: a part of its body is no longer held.
  /// The host gave it up because its response had begun and was not complete in time.
  bool response_incomplete = false;
};

/// The client disconnected or timed out. The request needs no final answer any more.
struct RequestCancelled {
  std::string id;
};

/// The state of a server in discovery.
enum class ServerState {
  kReady,     ///< Accepts attempts.
  kDraining,  ///< Gets no new attempts, but finishes those in flight.
  kRemoved    ///< No longer listed.
};

/// A server as discovery reports it.
struct Server {
  std::string address;  ///< Identifies the server.
  int zone = 0;
  int cell = 0;        ///< Group of servers that drop each other's duplicates under DedupScope::kCell.
  double weight = 1;   ///< Capacity relative to other servers.
  double started = 0;  ///< When it last started, s; 0: long ago.
  ServerState state = ServerState::kReady;
};

/// A change of the membership, or a failed poll or watch.
struct MembershipUpdate {
  enum class Form {
    kChanges,  ///< Only the servers that changed.
    kFull,     ///< The complete endpoint list: a server that is missing is removed.
    kFailed    ///< A poll or the watch failed; the membership stays as it is.
  };
  Form form = Form::kFull;
  std::vector<Server> servers;
};

/// A timer that was set by SetTimer is due.
struct TimerFired {
  std::uint64_t token = 0;
};

/// An operator has disabled or enabled a server. A disabled server counts as draining, whatever state
/// discovery reports, even after it was removed and added again. A server that is enabled again counts as
/// just started.
struct ServerAdminStateChanged {
  std::string address;
  bool enabled = true;
};

/// New settings apply from now on. Open requests keep the class settings under which they arrived. What was
/// learned about a tenant or a class is kept for the tenant or class of the same name.
struct SettingsReplaced {
  Settings settings;
};

using Event =
    std::variant<Started, Request, ResponseStarted, AttemptResult, RequestCancelled, MembershipUpdate,
                 TimerFired, ServerAdminStateChanged, SettingsReplaced, RequestBodyComplete>;

}  // namespace nettleyoke
