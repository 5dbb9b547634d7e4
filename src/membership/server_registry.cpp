#include "membership/server_registry.h"

#include <algorithm>

namespace nettleyoke {
namespace {

// Resets what was learned about the previous process at the address, because it does not apply to the new
// one. Attempts in flight stay counted.
void begin_incarnation(double now, ServerRecord& record, RandomSource& random) {
  record.is_subset_extra = false;
  record.outlier = {};
  record.slow_start.begin_incarnation(now, random.unit());
  record.capacity = ServerConcurrencyLimit(now);
  record.relative_latency = {};
}

}  // namespace

ServerRegistry::Slot ServerRegistry::find_or_add(const std::string& address) {
  const auto [entry, inserted] = index_by_address_.try_emplace(address, records_.size());
  if (!inserted) return {entry->second, false};
  if (free_indices_.empty()) {
    records_.emplace_back();
  } else {
    entry->second = free_indices_.back();
    free_indices_.pop_back();
    records_[entry->second] = {};
  }
  records_[entry->second].sort_key = stable_hash(address);
  return {entry->second, true};
}

void ServerRegistry::update_server(double now, const Server& server, RandomSource& random) {
  const Slot slot = find_or_add(server.address);
  ServerRecord& record = records_[slot.index];
  if (slot.is_new || server.started != record.advertised.started ||
      record.advertised.state == ServerState::kRemoved) {
    begin_incarnation(now, record, random);
  }
  const auto disabled = disabled_since_.find(server.address);
  record.administratively_disabled = disabled != disabled_since_.end();
  if (record.administratively_disabled) record.slow_start.on_disabled(disabled->second);
  record.advertised = server;
  record.list_version = list_version_;
  if (!(record.advertised.weight > 0)) record.advertised.weight = 1;
}

void ServerRegistry::update(double now, const MembershipUpdate& update, RandomSource& random) {
  ++list_version_;
  for (const Server& server : update.servers) update_server(now, server, random);
  if (update.form == MembershipUpdate::Form::kFull) {
    for (ServerRecord& record : records_) {
      if (record.list_version != list_version_) record.advertised.state = ServerState::kRemoved;
    }
  }
  for (std::size_t index = 0; index < records_.size(); ++index) free_if_unused(index);
}

// A server that is enabled again counts as just started: it may have been restarted while it was disabled,
// and discovery may report the restart late or never. Without slow start it would be overloaded.
bool ServerRegistry::set_admin_state(double now, const ServerAdminStateChanged& change,
                                     RandomSource& random) {
  const bool changed = change.enabled ? disabled_since_.erase(change.address) > 0
                                      : disabled_since_.try_emplace(change.address, now).second;
  if (!changed) return false;
  const auto entry = index_by_address_.find(change.address);
  if (entry == index_by_address_.end()) return false;
  ServerRecord& record = records_[entry->second];
  record.administratively_disabled = !change.enabled;
  if (change.enabled) {
    record.slow_start.on_enabled(now);
    begin_incarnation(now, record, random);
  } else {
    record.slow_start.on_disabled(now);
  }
  return true;
}

void ServerRegistry::release_reference(std::size_t index) {
  records_[index].attempt_references -= 1;
  free_if_unused(index);
}

// A removed server is kept while attempts of open requests refer to it. Attempts that have ended refer to it
// too, because the zone or cell of their server limits which servers the next attempt may go to.
void ServerRegistry::free_if_unused(std::size_t index) {
  ServerRecord& record = records_[index];
  if (record.advertised.state != ServerState::kRemoved || record.attempt_references > 0) return;
  if (record.is_free) return;
  index_by_address_.erase(record.advertised.address);
  record.is_free = true;
  free_indices_.push_back(index);
}

std::size_t ServerRegistry::unavailable_count(double now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const ServerRecord& record) {
        return record.advertised.state != ServerState::kRemoved &&
               (record.administratively_disabled || record.outlier.is_ejected(now));
      }));
}

}  // namespace nettleyoke
