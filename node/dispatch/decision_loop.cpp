#include "dispatch/decision_loop.h"

#include <utility>
#include <variant>
#include <vector>

namespace nettleyoke::node {

DecisionLoop::DecisionLoop(const Clock& clock, const Settings& settings, std::uint64_t seed,
                           ActionExecutor& executor)
    : clock_(clock), balancer_(settings, seed), executor_(executor) {}

void DecisionLoop::enqueue_event(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(is_handling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    // An exception that left this loop would leave is_handling_ set, and no later event would be handled.
    try {
      handle(next);
    } catch (const std::exception& error) {
      executor_.on_execution_failed(error);
    }
  }
  is_handling_ = false;
}

void DecisionLoop::handle(const Event& event) {
  std::vector<Action> actions;
  bool has_failed = false;
  try {
    balancer_.handle(clock_.now(), event, actions);
  } catch (const std::exception& error) {
    has_failed = true;
    executor_.on_decision_failed(error);
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { executor_.execute(alternative); }, action);
  }
  if (has_failed) executor_.after_failed_decision(event);
}

}  // namespace nettleyoke::node
