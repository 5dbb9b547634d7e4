/// @file
/// Bounds the memory that a node uses for messages over all its connections. Only counts the bytes that its
/// users report; allocates nothing.
#pragma once

#include <algorithm>
#include <cstddef>

namespace nettleyoke::node {

/// The number of bytes that all connections together may hold. Has to outlive its reservations.
class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @param bytes  may be less than used(); existing reservations keep their size
  void set_limit(std::size_t bytes) { limit_bytes_ = bytes; }
  /// Bytes in use; may exceed the limit (see Reservation::resize).
  std::size_t used() const { return used_bytes_; }
  /// Whether used() is below `fraction` of the limit.
  bool is_below_fraction(double fraction) const {
    return static_cast<double>(used_bytes_) < fraction * static_cast<double>(limit_bytes_);
  }

  /// The share of the budget that one holder uses. Its destructor returns the bytes to the budget.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& budget) : budget_(budget) {}
    ~Reservation() { budget_.used_bytes_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Changes the size of the reservation to `bytes`. Shrinking always succeeds.
    /// @return false, with the size unchanged, if the budget does not have the additional bytes
    [[nodiscard]] bool try_resize(std::size_t bytes) {
      if (bytes > bytes_ && bytes - bytes_ > budget_.available_bytes()) return false;
      resize(bytes);
      return true;
    }
    /// Changes the size without checking the limit, for bytes that are already in memory, such as a response
    /// that is being passed from a server to a client.
    void resize(std::size_t bytes) {
      budget_.used_bytes_ = budget_.used_bytes_ - bytes_ + bytes;
      bytes_ = bytes;
    }

    std::size_t size() const { return bytes_; }

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
