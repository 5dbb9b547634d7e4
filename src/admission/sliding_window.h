/// @file
/// Counts of the calls of the last few seconds.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <vector>

namespace nettleyoke {

/// Total and declined calls of the last seconds, in buckets of equal length; the latest buckets also give the
/// short rate. Owns the buckets and nothing else: it does not decide which calls are declined.
class SlidingWindow {
 public:
  /// Sums over the window.
  struct Sums {
    double total = 0;        ///< Calls, declined ones included.
    double declined = 0;     ///< Calls that were declined.
    double last_second = 0;  ///< Calls in the latest buckets, which make the short rate.
    [[nodiscard]] double accepted() const { return total - declined; }
  };

  /// @param bucket_s Length of one bucket, s.
  /// @param bucket_count How many buckets the window has.
  /// @param short_bucket_count How many of the latest buckets make the short rate.
  SlidingWindow(double bucket_s, int bucket_count, int short_bucket_count)
      : bucket_s_(bucket_s),
        short_bucket_count_(short_bucket_count),
        buckets_(static_cast<std::size_t>(bucket_count)) {}

  /// Counts one call.
  void add(double now, bool declined) {
    const std::int64_t slot = slot_of(now);
    const std::int64_t count = std::ssize(buckets_);
    Bucket& bucket = buckets_[static_cast<std::size_t>(((slot % count) + count) % count)];
    if (bucket.slot != slot) bucket = {slot, 0, 0};
    bucket.total += 1;
    if (declined) bucket.declined += 1;
  }

  [[nodiscard]] Sums sums(double now) const {
    const std::int64_t slot = slot_of(now);
    Sums sums;
    for (const Bucket& bucket : buckets_) {
      if (bucket.slot <= slot - std::ssize(buckets_)) continue;
      sums.total += bucket.total;
      sums.declined += bucket.declined;
      if (bucket.slot > slot - short_bucket_count_) sums.last_second += bucket.total;
    }
    return sums;
  }

 private:
  struct Bucket {
    std::int64_t slot = std::numeric_limits<std::int64_t>::min() / 2;
    double total = 0;
    double declined = 0;
  };

  [[nodiscard]] std::int64_t slot_of(double now) const {
    return static_cast<std::int64_t>(std::floor(now / bucket_s_));
  }

  double bucket_s_;
  int short_bucket_count_;
  std::vector<Bucket> buckets_;
};

}  // namespace nettleyoke
