// A body on its way from one connection to another, a piece at a time. Who writes waits while there is no
// room, who reads while there is nothing; each may leave before the end.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "http/memory_budget.h"

namespace nettleyoke::node {

class BodyPipe {
 public:
  using Wake = std::function<void()>;
  static constexpr std::size_t kCapacity = std::size_t{32} * 1024;

  // `length` of the whole body, where it is told.
  BodyPipe(boost::asio::io_context& io, MemoryBudget& budget, std::optional<std::uint64_t> length)
      : length_(length), io_(io), share_(budget) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  std::optional<std::uint64_t> length() const { return length_; }

  // ---- who writes
  void write(const char* bytes, std::size_t n) {
    if (is_over()) return;
    held_.append(bytes, n);
    share_.resize(held_.capacity());
    wake(readable_);
  }
  bool is_writable() const { return held_.size() < kCapacity; }
  bool is_reader_closed() const { return left_; }
  // Calls once when there is room, or the reader has left.
  void when_writable(Wake then) {
    room_ = std::move(then);
    if (is_writable() || left_) wake(room_);
  }
  // Calls when the reader leaves, whatever the writer waits for.
  void when_reader_closed(Wake then) { on_left_ = std::move(then); }
  // All is written.
  void finish() {
    if (is_over()) return;
    whole_ = true;
    room_ = on_left_ = nullptr;
    wake(readable_);
  }
  // There will be no more, though it is not all.
  void abort() {
    if (is_over()) return;
    broken_ = true;
    room_ = on_left_ = nullptr;
    wake(readable_);
  }

  // ---- who reads
  // What has come since; empty where there is nothing now.
  std::string take() {
    touched_ |= !held_.empty();
    std::string out = std::exchange(held_, {});
    share_.resize(0);
    wake(room_);
    return out;
  }
  bool has_been_read() const { return touched_; }  // something is gone from it
  bool is_complete() const { return whole_ && held_.empty(); }
  bool is_aborted() const { return broken_; }
  // Calls once when there is something, or nothing more to come.
  void when_readable(Wake then) {
    readable_ = std::move(then);
    if (!held_.empty() || whole_ || broken_) wake(readable_);
  }
  // Wants no more.
  void close_reader() {
    readable_ = nullptr;
    if (is_over()) return;
    left_ = true;
    held_.clear();
    held_.shrink_to_fit();
    share_.resize(0);
    wake(room_);
    wake(on_left_);
  }

 private:
  bool is_over() const { return whole_ || broken_ || left_; }
  // Never from within a call: the other side may be in the midst of one of its own.
  void wake(Wake& who) {
    if (who) boost::asio::post(io_, std::exchange(who, nullptr));
  }

  std::optional<std::uint64_t> length_;
  boost::asio::io_context& io_;
  MemoryBudget::Reservation share_;
  std::string held_;
  Wake room_, readable_, on_left_;
  bool whole_ = false, broken_ = false, left_ = false, touched_ = false;
};

}  // namespace nettleyoke::node
