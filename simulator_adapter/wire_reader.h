/// @file
/// The simulator's wire, read: one line of JSON holds a batch of instructions for several replicas.
/// This is the only place that knows the wire's words for what comes in; it decides nothing.
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

/// A batch, as far as it concerns all replicas. It refers to the document that it was read from.
struct Batch {
  std::uint64_t turn = 0;                 ///< repeated in the reply
  double now = 0;                         ///< s on the simulator's clock
  const json::Value* replicas = nullptr;  ///< an array; read_replica() reads its items
};

/// The instructions of a batch for one replica.
struct ReplicaBatch {
  int replica_id = 0;
  const json::Value* instructions = nullptr;  ///< an array; WireReader::read() reads its items
};

/// A replica starts, with no memory of what it was before.
struct StartReplica {
  const json::Value* settings = nullptr;  ///< in the form that json::read_settings() takes
  std::uint64_t seed = 0;
};

/// A replica is switched off.
struct StopReplica {};

/// What a replica is to do: start, stop, or take an event.
using Instruction = std::variant<StartReplica, StopReplica, Event>;

/// Parses a line in place and returns the document, which refers to the line.
/// @throws json::BadMessage when the line is not JSON
[[nodiscard]] rapidjson::Document parse_line(std::string& line);

/// @throws json::BadMessage when the batch has no turn
[[nodiscard]] std::uint64_t read_turn(const json::Value& document);

/// @throws json::BadMessage when a field is missing or of another type
[[nodiscard]] Batch read_batch(const json::Value& document);

/// @throws json::BadMessage when a field is missing or of another type
[[nodiscard]] ReplicaBatch read_replica(const json::Value& document);

/// Reads instructions one after the other. Owns the numbered endpoint lists, which the wire sends once for
/// all replicas and refers to by number from then on.
class WireReader {
 public:
  /// Reads one instruction.
  /// @return nothing for an endpoint list, which is kept, and for kinds that no replica takes
  /// @throws json::BadMessage when a field is missing, of another type or has an unknown word
  [[nodiscard]] std::optional<Instruction> read(const json::Value& instruction);

 private:
  void keep_endpoint_list(const json::Value& instruction);
  [[nodiscard]] std::optional<Event> read_event(std::string_view kind, const json::Value& instruction) const;
  [[nodiscard]] MembershipUpdate read_membership_update(const json::Value& instruction) const;

  std::map<int, std::vector<Server>> endpoint_lists_;
};

}  // namespace nettleyoke::simulator_adapter
