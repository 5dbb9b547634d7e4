/// @file
/// Reads the simulator's wire protocol: each line of JSON is a batch of instructions for several replicas.
/// Only this reader uses the protocol's names for input. It makes no decisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "nettleyoke/balancer.h"
#include "settings_reader.h"

namespace nettleyoke::simulator_adapter {

/// The fields that all replicas of a batch share. It refers to the document from which it was read.
struct Batch {
  std::uint64_t turn = 0;                 ///< number of the batch; repeated in the reply
  double now = 0;                         ///< time of the simulator's clock, s
  const json::Value* replicas = nullptr;  ///< an array; read_replica_batch() reads its items
};

/// The instructions of a batch for one replica.
struct ReplicaBatch {
  int replica_id = 0;
  const json::Value* instructions = nullptr;  ///< an array; WireReader::read() reads its items
};

/// Starts a replica, without any state of an earlier instance.
struct StartReplica {
  const json::Value* settings = nullptr;  ///< in the form that json::read_settings() takes
  std::uint64_t seed = 0;
};

/// Stops a replica.
struct StopReplica {};

/// Tells a replica to start, to stop, or to handle an event.
using Instruction = std::variant<StartReplica, StopReplica, Event>;

/// Parses a line in place and returns the document, which refers to the line.
/// @throws json::InvalidMessage if the line is not JSON
[[nodiscard]] rapidjson::Document parse_line(std::string& line);

/// Reads the number of a batch.
/// @throws json::InvalidMessage if it is missing or has another type
[[nodiscard]] std::uint64_t read_turn(const json::Value& document);

/// @throws json::InvalidMessage if a field is missing or has another type
[[nodiscard]] Batch read_batch(const json::Value& document);

/// @throws json::InvalidMessage if a field is missing or has another type
[[nodiscard]] ReplicaBatch read_replica_batch(const json::Value& document);

/// Reads instructions one after another. Owns the endpoint lists, which the protocol sends once for all
/// replicas and afterwards refers to by number.
class WireReader {
 public:
  /// Reads one instruction.
  /// @return empty for an endpoint list, which is stored, and for kinds that no replica handles
  /// @throws json::InvalidMessage if a field is missing, has another type or an invalid value
  [[nodiscard]] std::optional<Instruction> read(const json::Value& instruction);

 private:
  void store_endpoint_list(const json::Value& instruction);
  [[nodiscard]] std::optional<Event> read_event(std::string_view kind, const json::Value& instruction) const;
  [[nodiscard]] MembershipUpdate read_membership_update(const json::Value& instruction) const;

  std::map<int, std::vector<Server>> endpoint_lists_;  // by number
};

}  // namespace nettleyoke::simulator_adapter
