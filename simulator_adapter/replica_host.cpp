#include "replica_host.h"

#include <exception>
#include <variant>

namespace nettleyoke::simulator_adapter {

std::string_view ReplicaHost::answer(const json::Value& document) {
  const Batch batch = read_batch(document);
  writer_.begin(batch.turn);
  for (const json::Value& replica : batch.replicas->GetArray()) {
    handle_replica(batch.now, read_replica(replica));
  }
  writer_.end();
  return writer_.reply();
}

void ReplicaHost::handle_replica(double now, const ReplicaBatch& batch) {
  std::unique_ptr<Balancer>& balancer = replicas_[batch.replica_id];
  actions_.clear();
  std::optional<std::string> first_fault;
  for (const json::Value& item : batch.instructions->GetArray()) {
    try {
      if (const std::optional<Instruction> instruction = reader_.read(item)) {
        execute(now, *instruction, balancer);
      }
    } catch (const json::BadMessage&) {
      throw;                                 // the wire is broken: no reply could be trusted
    } catch (const std::exception& fault) {  // the library's own: reported to the simulator
      if (!first_fault) first_fault = fault.what();
    }
  }
  writer_.add_replica(batch.replica_id, actions_, first_fault);
}

void ReplicaHost::execute(double now, const Instruction& instruction, std::unique_ptr<Balancer>& balancer) {
  if (const Event* event = std::get_if<Event>(&instruction)) {
    if (balancer != nullptr) balancer->handle(now, *event, actions_);
    return;
  }
  // A start also ends what ran before, whether or not its settings can be read.
  balancer.reset();
  if (const StartReplica* start = std::get_if<StartReplica>(&instruction)) {
    balancer = std::make_unique<Balancer>(json::read_settings(*start->settings), start->seed);
    actions_.clear();  // actions of the former instance in this batch are void
    balancer->handle(now, Started{}, actions_);
  } else {
    actions_.clear();
  }
}

}  // namespace nettleyoke::simulator_adapter
