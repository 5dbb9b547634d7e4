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

/// Total and rejected requests of the last few seconds, in buckets of equal length. Also sums the requests of
/// the last second, in which a rise of the rate shows sooner than in the window. Owns the buckets. Does not
/// decide which requests are rejected.
class SlidingWindow {
 public:
  /// Sums over the window.
  struct Sums {
    double total = 0;        ///< Requests, rejected ones included.
    double rejected = 0;     ///< Rejected requests.
    double last_second = 0;  ///< Requests of the last second, rejected ones included.
    [[nodiscard]] double accepted() const { return total - rejected; }
  };

  /// @param bucket_s Length of one bucket, s.
  /// @param bucket_count Number of buckets in the window.
  /// @param last_second_buckets Number of buckets that make up the last second.
  SlidingWindow(double bucket_s, int bucket_count, int last_second_buckets)
      : bucket_s_(bucket_s),
        last_second_buckets_(last_second_buckets),
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
      if (bucket.slot > slot - last_second_buckets_) sums.last_second += bucket.total;
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
  int last_second_buckets_;
  std::vector<Bucket> buckets_;
};

}  // namespace nettleyoke
