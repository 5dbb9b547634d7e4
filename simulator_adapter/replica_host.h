/// @file
/// Hosts replicas of the decision library for the simulator. It passes events to the library and its actions
/// back; every decision is the library's.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nettleyoke/balancer.h"
#include "wire_reader.h"
#include "wire_writer.h"

namespace nettleyoke::simulator_adapter {

class ReplicaHost {
 public:
  /// Answers one batch.
  /// @return the reply's line, valid until the next call
  /// @throws json::BadMessage when the batch is not as the wire has it
  [[nodiscard]] std::string_view answer(const json::Value& document);

 private:
  void handle_replica(double now, const ReplicaBatch& batch);
  void execute(double now, const Instruction& instruction, std::unique_ptr<Balancer>& balancer);

  std::map<int, std::unique_ptr<Balancer>> replicas_;  // by id; empty while switched off
  WireReader reader_;
  WireWriter writer_;
  std::vector<Action> actions_;  // of the replica that is being handled
};

}  // namespace nettleyoke::simulator_adapter
