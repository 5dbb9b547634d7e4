// The figures that operators read: counted where things happen, from the start of the process.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nettleyoke::node {

// How a request ended, as its client sees it.
enum class RequestResult { kServed, kRejected, kFailed };

class Metrics {
 public:
  // What is known only when it is asked for.
  struct Snapshot {
    std::size_t hosts_listed = 0, hosts_down = 0;
  };

  // Classes show from here on, with what was counted for them before, if anything.
  void add_classes(const std::vector<std::string>& classes) {
    for (const std::string& name : classes) ends_.try_emplace(name);
  }
  void request_started() { inflight_ += 1; }
  // The last byte of the final answer is written, or nobody waits for it any more.
  void request_ended(const std::string& request_class, RequestResult how) {
    inflight_ -= 1;
    ends_[request_class][static_cast<std::size_t>(how)] += 1;
  }
  // The last byte of an attempt is written.
  void attempt_sent() { backend_calls_ += 1; }
  void reload_finished(bool good) { (good ? reconfig_ok_ : reconfig_failed_) += 1; }

  // One line of JSON.
  std::string to_json(const Snapshot& now) const;

 private:
  std::map<std::string, std::array<std::uint64_t, 3>> ends_;  // by class, as End counts
  std::uint64_t inflight_ = 0, backend_calls_ = 0, reconfig_ok_ = 0, reconfig_failed_ = 0;
};

}  // namespace nettleyoke::node
