/// @file
/// The attempts that a server has in flight from this replica.
#pragma once

namespace nettleyoke {

/// Counts attempts in flight and knows their mean age. An attempt counts from the moment at which the server
/// can work on it until it has answered.
class InFlightLoad {
 public:
  void add(double sent_at) {
    count_ += 1;
    sent_at_sum_ += sent_at;
  }

  /// @param sent_at As it was added.
  void remove(double sent_at) {
    count_ -= 1;
    sent_at_sum_ -= sent_at;
  }

  [[nodiscard]] int count() const { return count_; }

  /// Mean age of the attempts in flight, s. Only while there are any.
  [[nodiscard]] double mean_age(double now) const { return now - sent_at_sum_ / count_; }

 private:
  int count_ = 0;
  double sent_at_sum_ = 0;
};

}  // namespace nettleyoke
