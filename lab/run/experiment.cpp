#include "run/experiment.h"

#include <algorithm>
#include <array>

namespace nettleyoke::lab {
namespace {

using Kind = FaultInjection::Kind;

struct FaultWord {
  Kind kind;
  const char* word;
};

// The one place where the words of experiment files and results stand beside the code's names.
constexpr std::array<FaultWord, 13> kFaultWords{{{Kind::kHang, "hang"},
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

const char* word_for(Kind kind) {
  const auto found = std::find_if(kFaultWords.begin(), kFaultWords.end(),
                                  [kind](const FaultWord& known) { return known.kind == kind; });
  return found == kFaultWords.end() ? "unknown" : found->word;
}

std::optional<Kind> fault_kind_for(std::string_view word) {
  const auto found = std::find_if(kFaultWords.begin(), kFaultWords.end(),
                                  [word](const FaultWord& known) { return known.word == word; });
  return found == kFaultWords.end() ? std::nullopt : std::optional(found->kind);
}

std::string fault_words() {
  std::string words;
  for (const FaultWord& known : kFaultWords) words += (words.empty() ? "" : ", ") + std::string(known.word);
  return words;
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
