/// @file
/// Counts of the requests of the last few seconds.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <vector>

namespace nettleyoke {

/// Total and rejected requests of the last few seconds, in buckets of equal length; the latest buckets also
/// make the short rate. Owns the buckets. Does not decide which requests are rejected.
class SlidingWindow {
 public:
  /// Sums over the window.
  struct Sums {
    double total = 0;        ///< Requests, rejected ones included.
    double rejected = 0;     ///< Rejected requests.
    double last_second = 0;  ///< Requests in the latest buckets, which make the short rate.
    [[nodiscard]] double accepted() const { return total - rejected; }
  };

  /// @param bucket_s Length of one bucket, s.
  /// @param bucket_count Number of buckets in the window.
  /// @param short_bucket_count Number of latest buckets that make the short rate.
  SlidingWindow(double bucket_s, int bucket_count, int short_bucket_count)
      : bucket_s_(bucket_s),
        short_bucket_count_(short_bucket_count),
        buckets_(static_cast<std::size_t>(bucket_count)) {}

  /// Counts one request.
  void add(double now, bool rejected) {
    const std::int64_t slot = slot_of(now);
    const std::int64_t count = std::ssize(buckets_);
    Bucket& bucket = buckets_[static_cast<std::size_t>(((slot % count) + count) % count)];
    if (bucket.slot != slot) bucket = {slot, 0, 0};
    bucket.total += 1;
    if (rejected) bucket.rejected += 1;
  }

  [[nodiscard]] Sums sums(double now) const {
    const std::int64_t slot = slot_of(now);
    Sums sums;
    for (const Bucket& bucket : buckets_) {
      if (bucket.slot <= slot - std::ssize(buckets_)) continue;
      sums.total += bucket.total;
      sums.rejected += bucket.rejected;
      if (bucket.slot > slot - short_bucket_count_) sums.last_second += bucket.total;
    }
    return sums;
  }

 private:
  struct Bucket {
    // Number of the time slot whose requests it counts; initially long before any time.
    std::int64_t slot = std::numeric_limits<std::int64_t>::min() / 2;
    double total = 0;
    double rejected = 0;
  };

  [[nodiscard]] std::int64_t slot_of(double now) const {
    return static_cast<std::int64_t>(std::floor(now / bucket_s_));
  }

  double bucket_s_;
  int short_bucket_count_;
  std::vector<Bucket> buckets_;
};

}  // namespace nettleyoke
