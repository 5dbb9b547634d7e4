#include "run/experiment.h"

#include <algorithm>
#include <array>

namespace nettleyoke::lab {
namespace {

using Kind = FaultInjection::Kind;

struct FaultKindName {
  Kind kind;
  const char* name;
};

// The only mapping between fault kinds and their names in experiment files and results.
constexpr std::array<FaultKindName, 13> kFaultKindNames{{{Kind::kHang, "hang"},
                                                         {Kind::kSlow, "slow"},
                                                         {Kind::kFail, "fail"},
                                                         {Kind::kRecover, "mend"},
                                                         {Kind::kCrash, "crash"},
                                                         {Kind::kStart, "start"},
                                                         {Kind::kDrain, "drain"},
                                                         {Kind::kRemove, "remove"},
                                                         {Kind::kDiscoveryDown, "silence"},
                                                         {Kind::kResetWatches, "reset"},
                                                         {Kind::kStallWatches, "stall"},
                                                         {Kind::kDelayDiscovery, "late"},
                                                         {Kind::kPartition, "cut"}}};

}  // namespace

const char* fault_kind_name(Kind kind) {
  const auto found = std::find_if(kFaultKindNames.begin(), kFaultKindNames.end(),
                                  [kind](const FaultKindName& entry) { return entry.kind == kind; });
  return found == kFaultKindNames.end() ? "unknown" : found->name;
}

std::optional<Kind> fault_kind_from_name(std::string_view name) {
  const auto found = std::find_if(kFaultKindNames.begin(), kFaultKindNames.end(),
                                  [name](const FaultKindName& entry) { return entry.name == name; });
  return found == kFaultKindNames.end() ? std::nullopt : std::optional(found->kind);
}

std::string fault_kind_names() {
  std::string names;
  for (const FaultKindName& entry : kFaultKindNames) {
    names += (names.empty() ? "" : ", ") + std::string(entry.name);
  }
  return names;
}

bool targets_server(Kind kind) {
  switch (kind) {
    case Kind::kHang:
    case Kind::kSlow:
    case Kind::kFail:
    case Kind::kRecover:
    case Kind::kCrash:
    case Kind::kStart:
    case Kind::kDrain:
    case Kind::kRemove:
      return true;
    default:
      return false;
  }
}

bool has_duration(Kind kind) {
  return kind == Kind::kDiscoveryDown || kind == Kind::kDelayDiscovery || kind == Kind::kPartition;
}

int Experiment::tier_count() const {
  int count = 0;
  for (const ServerGroupSpec& group : servers) count = std::max(count, group.tier + 1);
  return count;
}

std::vector<std::string> Experiment::server_names(int tier) const {
  std::vector<std::string> names;
  const std::string prefix = tier == 0 ? "s" : "t" + std::to_string(tier) + "-s";
  for (const ServerGroupSpec& group : servers) {
    if (group.tier != tier) continue;
    for (int i = 0; i < group.count; ++i) names.push_back(prefix + std::to_string(names.size()));
  }
  return names;
}

std::optional<int> Experiment::tier_of(const std::string& server) const {
  for (int tier = 0; tier < tier_count(); ++tier) {
    const std::vector<std::string> names = server_names(tier);
    if (std::find(names.begin(), names.end(), server) != names.end()) return tier;
  }
  return std::nullopt;
}

}  // namespace nettleyoke::lab
