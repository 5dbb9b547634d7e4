/// @file
/// Hosts replicas of the decision library for the simulator: passes events to the library and returns the
/// library's actions. It makes no decisions.
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
  /// Executes the instructions of one batch.
  /// @return the reply as one line, valid until the next call
  /// @throws json::InvalidMessage if the batch violates the wire protocol
  [[nodiscard]] std::string_view execute_batch(const json::Value& document);

 private:
  void execute_replica_batch(double now, const ReplicaBatch& batch);
  void execute(double now, const Instruction& instruction, std::unique_ptr<Balancer>& balancer);

  std::map<int, std::unique_ptr<Balancer>> replicas_;  // by id; null while stopped
  WireReader reader_;
  WireWriter writer_;
  std::vector<Action> actions_;  // of the current replica
};

}  // namespace nettleyoke::simulator_adapter
