/// @file
/// The classes of requests, with what was learned of each.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "attempts/latency_estimate.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// One class as it was configured, which open requests keep, and its latency.
struct RequestClassState {
  RequestClass rules;
  int max_attempts = 1;
  LatencyEstimate latency;
};

/// Owns the state of each class of the settings and of one for requests without a class: not idempotent,
/// without an objective of its own. Requests share a class with the table, so that they keep the rules that
/// they came under when settings are replaced.
class RequestClassTable {
 public:
  /// Takes over the classes of new settings; what was learned of a class of the same name is kept.
  void replace(const Settings& settings);

  /// @param request_class Index into Settings::classes; out of range: the class of requests without one.
  [[nodiscard]] const std::shared_ptr<RequestClassState>& at(std::size_t request_class) const;

 private:
  [[nodiscard]] std::shared_ptr<RequestClassState> make_state(const RequestClass& rules,
                                                              int max_attempts) const;

  std::vector<std::shared_ptr<RequestClassState>> classes_;
};

}  // namespace nettleyoke
