/// The metrics that operators read, counted where things happen, from the start of the process.
///
/// Owns the counters; it never looks into the parts that it counts for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nettleyoke::node {

/// How a request ended, as its client sees it.
enum class RequestResult { kServed, kRejected, kFailed };

class Metrics {
 public:
  /// What is known only when it is asked for.
  struct Snapshot {
    std::size_t hosts_listed = 0;
    std::size_t hosts_down = 0;
  };

  /// Shows these classes from here on, with what was counted for them before, if anything.
  void add_classes(const std::vector<std::string>& classes) {
    for (const std::string& name : classes) results_by_class_.try_emplace(name);
  }
  void request_started() { requests_in_flight_ += 1; }
  /// The last byte of the final response is written, or nobody waits for it any more.
  void request_ended(const std::string& request_class, RequestResult result) {
    requests_in_flight_ -= 1;
    results_by_class_[request_class][static_cast<std::size_t>(result)] += 1;
  }
  /// The last byte of an attempt is written.
  void attempt_sent() { attempts_sent_ += 1; }
  void reload_finished(bool succeeded) { (succeeded ? reloads_succeeded_ : reloads_failed_) += 1; }

  /// One line of JSON, without its end, by the keys that operators know.
  std::string to_json(const Snapshot& snapshot) const;

 private:
  static constexpr std::size_t kResultCount = 3;

  std::map<std::string, std::array<std::uint64_t, kResultCount>>
      results_by_class_;  // as RequestResult counts
  std::uint64_t requests_in_flight_ = 0;
  std::uint64_t attempts_sent_ = 0;
  std::uint64_t reloads_succeeded_ = 0;
  std::uint64_t reloads_failed_ = 0;
};

}  // namespace nettleyoke::node
