// Bounds the bytes of messages that a node holds, over all its connections.
#pragma once

#include <algorithm>
#include <cstddef>

namespace nettleyoke::node {

class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  void set_limit(std::size_t most) { most_ = most; }
  std::size_t used() const { return used_; }
  // Whether no more than a part of it is in use.
  bool is_under(double part) const { return static_cast<double>(used_) < part * static_cast<double>(most_); }

  // What one holder has of it.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& of) : of_(of) {}
    ~Reservation() { of_.used_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    // Now holds so many bytes; false, and nothing is changed, if that is more than there is room for.
    bool try_resize(std::size_t bytes) {
      if (bytes > bytes_ && bytes - bytes_ > of_.most_ - std::min(of_.used_, of_.most_)) return false;
      resize(bytes);
      return true;
    }
    // The same where the bytes are there already, as with an answer that goes from server to client.
    void resize(std::size_t bytes) {
      of_.used_ = of_.used_ - bytes_ + bytes;
      bytes_ = bytes;
    }

   private:
    MemoryBudget& of_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t most_ = 0, used_ = 0;
};

}  // namespace nettleyoke::node
