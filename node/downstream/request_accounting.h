/// @file
/// Counts the request in progress on one connection in the metrics, so that each request that was counted as
/// started is counted as ended exactly once. Owns the name of the request's class; does not affect the
/// request itself.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "admin/metrics.h"

namespace nettleyoke::node {

class RequestAccounting {
 public:
  /// Registers a valid request. It is counted later: at its last byte or at the start of its response,
  /// whichever is first.
  void accept(const std::string& request_class) {
    request_class_ = request_class;
    is_counted_ = false;
  }
  /// Call when the request's last byte has arrived, and when its response begins. No effect if no request is
  /// registered or it has been counted already.
  void start(Metrics& metrics) {
    if (!request_class_ || std::exchange(is_counted_, true)) return;
    metrics.request_started();
  }
  /// Call when the last byte of the response is written, or when the client has disconnected. No effect if no
  /// request has been counted as started.
  void end(Metrics& metrics, RequestResult result) {
    if (!request_class_ || !is_counted_) return;
    metrics.request_ended(*std::exchange(request_class_, std::nullopt), result);
  }

 private:
  std::optional<std::string> request_class_;
  bool is_counted_ = false;
};

}  // namespace nettleyoke::node
