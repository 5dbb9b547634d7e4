/// @file
/// The metrics that operators read.
///
/// Owns the counters, which start at 0 with the process. Other parts of the node report the events to count.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nettleyoke::node {

/// How a request ended for its client.
enum class RequestResult { kServed, kRejected, kFailed };

class Metrics {
 public:
  /// Values that are read when the metrics are requested.
  struct Snapshot {
    std::size_t listed_servers = 0;
    std::size_t unavailable_servers = 0;
  };

  /// Adds these request classes to the output. Counts of classes that were added before are kept.
  void add_classes(const std::vector<std::string>& classes) {
    for (const std::string& name : classes) results_by_class_.try_emplace(name);
  }
  void request_started() { requests_in_flight_ += 1; }
  /// The last byte of the final answer has been written, or the client has disconnected.
  void request_ended(const std::string& request_class, RequestResult result) {
    requests_in_flight_ -= 1;
    results_by_class_[request_class][static_cast<std::size_t>(result)] += 1;
  }
  /// The last byte of an attempt has been written.
  void attempt_sent() { attempts_sent_ += 1; }
  void reload_finished(bool succeeded) { (succeeded ? reloads_succeeded_ : reloads_failed_) += 1; }

  /// Formats the metrics as one line of JSON, without a line end.
  std::string to_json(const Snapshot& snapshot) const;

 private:
  static constexpr std::size_t kResultCount = 3;

  // For each request class, the counts indexed by RequestResult.
  std::map<std::string, std::array<std::uint64_t, kResultCount>> results_by_class_;
  std::uint64_t requests_in_flight_ = 0;
  std::uint64_t attempts_sent_ = 0;
  std::uint64_t reloads_succeeded_ = 0;
  std::uint64_t reloads_failed_ = 0;
};

}  // namespace nettleyoke::node
