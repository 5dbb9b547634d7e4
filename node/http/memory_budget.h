/// @file
/// Bounds the bytes of messages that a node holds over all its connections. Counts what its users report; it
/// allocates nothing itself.
#pragma once

#include <algorithm>
#include <cstddef>

namespace nettleyoke::node {

/// The bytes that all connections together may hold. Outlives its reservations.
class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @param bytes  may be below what is in use; what is reserved stays reserved.
  void set_limit(std::size_t bytes) { limit_bytes_ = bytes; }
  /// Bytes in use; may exceed the limit (see Reservation::resize).
  std::size_t used() const { return used_bytes_; }
  /// Whether less than a fraction of the limit is in use.
  bool is_under(double fraction) const {
    return static_cast<double>(used_bytes_) < fraction * static_cast<double>(limit_bytes_);
  }

  /// What one holder has of the budget; gives it back when it ends.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& budget) : budget_(budget) {}
    ~Reservation() { budget_.used_bytes_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Holds `bytes` in place of what it held. To shrink always succeeds.
    /// @return false, with nothing changed, if that exceeds the budget.
    [[nodiscard]] bool try_resize(std::size_t bytes) {
      if (bytes > bytes_ && bytes - bytes_ > budget_.available_bytes()) return false;
      resize(bytes);
      return true;
    }
    /// The same without a limit, for bytes that are in memory already, such as an answer on its way from a
    /// server to a client.
    void resize(std::size_t bytes) {
      budget_.used_bytes_ = budget_.used_bytes_ - bytes_ + bytes;
      bytes_ = bytes;
    }

   private:
    MemoryBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t available_bytes() const { return limit_bytes_ - std::min(used_bytes_, limit_bytes_); }

  std::size_t limit_bytes_ = 0;
  std::size_t used_bytes_ = 0;
};

}  // namespace nettleyoke::node
