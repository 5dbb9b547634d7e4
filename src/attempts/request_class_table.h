/// @file
/// The request classes and the latency learned for each.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "attempts/latency_estimate.h"
#include "nettleyoke/settings.h"

namespace nettleyoke {

/// The settings of one class, which its open requests keep, and its latency estimate.
struct RequestClassState {
  RequestClass class_settings;
  int max_attempts = 1;
  LatencyEstimate latency;
};

/// Owns the state of each configured class and of a default class for requests without a class, which is not
/// idempotent and has no latency objective. Requests share ownership of their class, so that they keep its
/// settings when the settings are replaced.
class RequestClassTable {
 public:
  /// Applies the classes of new settings. A class keeps the latency learned for the class of the same name.
  void replace(const Settings& settings);

  /// @param request_class Index into Settings::classes; out of range: the default class.
  [[nodiscard]] const std::shared_ptr<RequestClassState>& at(std::size_t request_class) const;

 private:
  [[nodiscard]] std::shared_ptr<RequestClassState> make_state(const RequestClass& class_settings,
                                                              int max_attempts) const;

  std::vector<std::shared_ptr<RequestClassState>> classes_;
};

}  // namespace nettleyoke
