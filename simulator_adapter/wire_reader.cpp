#include "wire_reader.h"

#include <string_view>
#include <utility>

#include "rapidjson/document.h"
#include "rapidjson/error/en.h"

namespace nettleyoke::simulator_adapter {
namespace {

using json::boolean_or_false;
using json::index_or_zero;
using json::integer;
using json::integer_or;
using json::number;
using json::number_or;
using json::text;
using json::unsigned_integer;

Outcome read_outcome(std::string_view word) {
  if (word == "delivered") return Outcome::kSucceeded;
  if (word == "app_error") return Outcome::kServerError;
  if (word == "shed") return Outcome::kRejected;
  if (word == "expired") return Outcome::kTimedOut;
  if (word == "dial_failed") return Outcome::kConnectFailed;
  if (word == "dropped") return Outcome::kReset;
  if (word == "revoked") return Outcome::kCancelled;
  if (word == "unused") return Outcome::kNotSent;
  return Outcome::kUnknown;
}

ServerState read_state(std::string_view word) {
  if (word == "Ready") return ServerState::kReady;
  if (word == "Terminating") return ServerState::kDraining;
  if (word == "Gone") return ServerState::kRemoved;
  json::throw_invalid("mode", "Ready, Terminating or Gone");
}

Server read_server(const json::Value& entry) {
  Server server;
  server.address = text(entry, "server");
  server.zone = integer_or(entry, "rackZone", 0);
  server.cell = integer_or(entry, "pack", 0);
  server.weight = number_or(entry, "units", 1);
  server.started = number_or(entry, "since", 0);
  server.state = read_state(text(entry, "mode"));
  return server;
}

Request read_request(const json::Value& instruction) {
  constexpr int kWorkHintIsValid = 1;
  constexpr int kIsClientRetry = 2;
  Request request;
  request.id = text(instruction, "txn");
  request.tenant = index_or_zero(instruction, "account");
  request.request_class = index_or_zero(instruction, "profile");
  request.time_left = number(instruction, "timeLeft");
  const int options = integer_or(instruction, "opts", 0);
  if ((options & kWorkHintIsValid) != 0 && json::find(instruction, "cost") != nullptr) {
    request.work = number(instruction, "cost");
  }
  request.is_client_retry = (options & kIsClientRetry) != 0;
  return request;
}

AttemptResult read_attempt_result(const json::Value& instruction) {
  AttemptResult result;
  result.id = text(instruction, "txn");
  result.attempt = integer_or(instruction, "try", 0);
  result.outcome = read_outcome(text(instruction, "outcome"));
  result.elapsed = number_or(instruction, "lag", 0);
  result.request_completed = boolean_or_false(instruction, "doneFlag");
  return result;
}

ResponseStarted read_response_started(const json::Value& instruction) {
  return {std::string(text(instruction, "txn")), integer_or(instruction, "try", 0),
          number_or(instruction, "lag", 0)};
}

}  // namespace

rapidjson::Document parse_line(std::string& line) {
  rapidjson::Document document;
  document.ParseInsitu(line.data());
  if (document.HasParseError()) {
    throw json::InvalidMessage(std::string("not valid JSON: ") +
                               rapidjson::GetParseError_En(document.GetParseError()) + " at byte " +
                               std::to_string(document.GetErrorOffset()));
  }
  return document;
}

std::uint64_t read_turn(const json::Value& document) { return unsigned_integer(document, "turn"); }

Batch read_batch(const json::Value& document) {
  Batch batch;
  batch.now = number(document, "clock");
  batch.turn = read_turn(document);
  batch.replicas = &json::array(document, "nodes");
  return batch;
}

ReplicaBatch read_replica_batch(const json::Value& document) {
  ReplicaBatch replica;
  replica.replica_id = integer(document, "who");
  replica.instructions = &json::array(document, "news");
  return replica;
}

std::optional<Instruction> WireReader::read(const json::Value& instruction) {
  const std::string_view kind = text(instruction, "kind");
  if (kind == "TABLE") {
    store_endpoint_list(instruction);
    return std::nullopt;
  }
  if (kind == "OPEN_INSTANCE") {
    return StartReplica{&json::require(instruction, "config"), unsigned_integer(instruction, "initSeed")};
  }
  if (kind == "POWER_OFF") return StopReplica{};
  return read_event(kind, instruction);
}

void WireReader::store_endpoint_list(const json::Value& instruction) {
  std::vector<Server> servers;
  for (const json::Value& entry : json::array(instruction, "nodesList").GetArray()) {
    servers.push_back(read_server(entry));
  }
  endpoint_lists_[integer(instruction, "sheet")] = std::move(servers);
}

std::optional<Event> WireReader::read_event(std::string_view kind, const json::Value& instruction) const {
  if (kind == "QUERY") return read_request(instruction);
  if (kind == "DONE") return read_attempt_result(instruction);
  if (kind == "FIRED") return TimerFired{unsigned_integer(instruction, "keyBack")};
  if (kind == "GONE") return RequestCancelled{std::string(text(instruction, "txn"))};
  if (kind == "DIRECTORY_UPDATE") return read_membership_update(instruction);
  if (kind == "ACK_FIRST") return read_response_started(instruction);
  // STATUS_BACK and MEMO respond to actions that the library never takes. Kinds of later protocol versions
  // are ignored.
  return std::nullopt;
}

MembershipUpdate WireReader::read_membership_update(const json::Value& instruction) const {
  const std::string_view form = text(instruction, "form");
  MembershipUpdate update;
  if (form == "X") {
    update.form = MembershipUpdate::Form::kFailed;
    return update;
  }
  if (form == "D") {
    update.form = MembershipUpdate::Form::kChanges;
  } else if (form != "F" && form != "C") {
    json::throw_invalid("form", "D, F, C or X");
  }
  const auto list = endpoint_lists_.find(integer(instruction, "sheet"));
  if (list == endpoint_lists_.end()) json::throw_invalid("sheet", "the number of an earlier endpoint list");
  update.servers = list->second;
  return update;
}

}  // namespace nettleyoke::simulator_adapter
