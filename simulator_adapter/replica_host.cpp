#include "replica_host.h"

#include <exception>
#include <variant>

namespace nettleyoke::simulator_adapter {

std::string_view ReplicaHost::execute_batch(const json::Value& document) {
  const Batch batch = read_batch(document);
  writer_.begin(batch.turn);
  for (const json::Value& replica : batch.replicas->GetArray()) {
    execute_replica_batch(batch.now, read_replica_batch(replica));
  }
  writer_.end();
  return writer_.reply();
}

void ReplicaHost::execute_replica_batch(double now, const ReplicaBatch& batch) {
  std::unique_ptr<Balancer>& balancer = replicas_[batch.replica_id];
  actions_.clear();
  std::optional<std::string> first_error;
  for (const json::Value& item : batch.instructions->GetArray()) {
    try {
      if (const std::optional<Instruction> instruction = reader_.read(item)) {
        execute(now, *instruction, balancer);
      }
    } catch (const json::InvalidMessage&) {
      throw;                                 // the input is invalid, so no correct reply is possible
    } catch (const std::exception& error) {  // thrown by the library: reported to the simulator
      if (!first_error) first_error = error.what();
    }
  }
  writer_.add_replica(batch.replica_id, actions_, first_error);
}

void ReplicaHost::execute(double now, const Instruction& instruction, std::unique_ptr<Balancer>& balancer) {
  if (const Event* event = std::get_if<Event>(&instruction)) {
    if (balancer != nullptr) balancer->handle(now, *event, actions_);
    return;
  }
  // A start also ends the former instance, even if the new settings are invalid.
  balancer.reset();
  if (const StartReplica* start = std::get_if<StartReplica>(&instruction)) {
    balancer = std::make_unique<Balancer>(json::read_settings(*start->settings), start->seed);
    actions_.clear();  // discard actions of the former instance in this batch
    balancer->handle(now, Started{}, actions_);
  } else {
    actions_.clear();
  }
}

}  // namespace nettleyoke::simulator_adapter
