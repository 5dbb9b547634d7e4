#include "attempts/request_class_table.h"

#include <algorithm>
#include <utility>

#include "statistics/infinity.h"

namespace nettleyoke {

std::shared_ptr<RequestClassState> RequestClassTable::make_state(const RequestClass& class_settings,
                                                                 int max_attempts) const {
  auto state = std::make_shared<RequestClassState>(
      RequestClassState{class_settings, max_attempts, LatencyEstimate(class_settings.latency_objective)});
  // Keep the learned latency of the class of the same name; if several have the name, of the first.
  const auto previous = std::find_if(classes_.begin(), classes_.end(), [&](const auto& candidate) {
    return !class_settings.name.empty() && candidate->class_settings.name == class_settings.name;
  });
  if (previous != classes_.end()) state->latency = (*previous)->latency;
  return state;
}

void RequestClassTable::replace(const Settings& settings) {
  RequestClass without_class;
  without_class.client_timeout = kInfinity;
  without_class.latency_objective = kInfinity;
  std::vector<std::shared_ptr<RequestClassState>> replacements;
  for (const RequestClass& class_settings : settings.classes) {
    replacements.push_back(make_state(class_settings, settings.max_attempts));
  }
  replacements.push_back(make_state(without_class, settings.max_attempts));
  classes_ = std::move(replacements);
}

const std::shared_ptr<RequestClassState>& RequestClassTable::at(std::size_t request_class) const {
  return classes_[std::min(request_class, classes_.size() - 1)];
}

}  // namespace nettleyoke
