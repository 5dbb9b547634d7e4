/// @file
/// Counts the one request of a connection that is in progress, so that each request that was counted as begun
/// is counted as ended just once. Owns the name of its class; starts and answers nothing.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "admin/metrics.h"

namespace nettleyoke::node {

class RequestAccounting {
 public:
  /// A valid request; it counts from its last byte or its answer, whichever is first.
  void accept(const std::string& request_class) {
    request_class_ = request_class;
    is_counted_ = false;
  }
  /// Its last byte has come, or its answer begins. Does nothing where there is none, or it counts already.
  void start(Metrics& metrics) {
    if (!request_class_ || std::exchange(is_counted_, true)) return;
    metrics.request_started();
  }
  /// The last byte of its answer is written, or nobody waits for it any more. Does nothing where none counts.
  void end(Metrics& metrics, RequestResult result) {
    if (!request_class_ || !is_counted_) return;
    metrics.request_ended(*std::exchange(request_class_, std::nullopt), result);
  }

 private:
  std::optional<std::string> request_class_;
  bool is_counted_ = false;
};

}  // namespace nettleyoke::node
