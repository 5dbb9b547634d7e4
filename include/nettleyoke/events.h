/// @file
/// Events: what a Balancer is notified of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The replica starts: the first event, so that it can ask for what it needs.
struct Started {};

/// A client's request wants a server.
struct Request {
  std::string id;
  std::size_t tenant = 0;         ///< Index into Settings::tenants.
  std::size_t request_class = 0;  ///< Index into Settings::classes.
  double time_left = 0;           ///< s until the client gives up.
  std::optional<double> work;     ///< Announced work, s on a standard core.
  bool is_client_retry = false;   ///< The client marked it as a retry of its own.
  bool body_in_progress = false;  ///< Its body is still arriving; RequestBodyComplete reports the last byte.
};

/// The last byte of a request has arrived. Its time runs from here, and no server has begun it before.
struct RequestBodyComplete {
  std::string id;
};

/// How an attempt ended.
enum class Outcome {
  kSucceeded,      ///< Answered; the answer is the client's.
  kServerError,    ///< The server answered with an error.
  kRejected,       ///< Rejected unprocessed: the server is full or draining.
  kTimedOut,       ///< No answer in time.
  kConnectFailed,  ///< No connection was established.
  kReset,          ///< The connection broke while the attempt was in flight.
  kCancelled,      ///< Withdrawn by CancelAttempt.
  kNotSent,        ///< Never left this replica.
  kUnknown         ///< Anything else: it may have run.
};

/// An attempt with a streamed answer has begun to answer; the client owns the answer from here. Its server
/// has done the work, so that the attempt no longer counts as in flight.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;  ///< s since it was sent.
};

/// An attempt has ended. Each StartAttempt gets exactly one.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;              ///< s since it was sent.
  bool request_completed = false;  ///< The request needs no further answer.
  bool body_consumed = false;      ///< The request can't be sent again: a part of its body is gone.
};

/// The client disconnected, or its time is up; no answer is owed any more.
struct RequestCancelled {
  std::string id;
};

/// The state that discovery reports of a server.
enum class ServerState { kReady, kDraining, kRemoved };

/// A server as discovery reports it.
struct Server {
  std::string address;  ///< Its identity.
  int zone = 0;
  int cell = 0;
  double weight = 1;   ///< Size in comparison with other servers.
  double started = 0;  ///< When it last started; 0: long ago.
  ServerState state = ServerState::kReady;
};

/// A change of the membership, or the failure of a poll or watch.
struct MembershipUpdate {
  enum class Form {
    kChanges,  ///< Only what changed.
    kFull,     ///< The complete list: a server that it lacks is removed.
    kFailed    ///< Polling failed or the watch broke; the known membership stays.
  };
  Form form = Form::kFull;
  std::vector<Server> servers;
};

/// A timer that SetTimer asked for is due.
struct TimerFired {
  std::uint64_t token = 0;
};

/// Operators have administratively disabled or enabled a server. While disabled it counts as draining
/// whatever the membership says, also if it leaves and comes again; once enabled it counts as just started.
struct ServerAdminStateChanged {
  std::string address;
  bool enabled = true;
};

/// Other settings hold from here on. Earlier requests keep the rules that they came under; what was learned
/// of a tenant or a class is kept for the one of the same name.
struct SettingsReplaced {
  Settings settings;
};

using Event =
    std::variant<Started, Request, ResponseStarted, AttemptResult, RequestCancelled, MembershipUpdate,
                 TimerFired, ServerAdminStateChanged, SettingsReplaced, RequestBodyComplete>;

}  // namespace nettleyoke
