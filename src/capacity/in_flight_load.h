/// @file
/// The attempts of this replica that are in flight at a server.
#pragma once

namespace nettleyoke {

/// The number and mean age of the attempts in flight. An attempt counts from when the server can start to
/// process it until its response starts.
class InFlightLoad {
 public:
  void add(double sent_at) {
    count_ += 1;
    sent_at_sum_ += sent_at;
  }

  /// @param sent_at The value with which the attempt was added.
  void remove(double sent_at) {
    count_ -= 1;
    sent_at_sum_ -= sent_at;
  }

  [[nodiscard]] int count() const { return count_; }

  /// Mean age of the attempts in flight, s. There must be at least one.
  [[nodiscard]] double mean_age(double now) const { return now - sent_at_sum_ / count_; }

 private:
  int count_ = 0;
  double sent_at_sum_ = 0;
};

}  // namespace nettleyoke
