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

class Pipe {
 public:
  using Wake = std::function<void()>;
  static constexpr std::size_t kRoom = std::size_t{32} * 1024;

  // `length` of the whole body, where it is told.
  Pipe(boost::asio::io_context& io, Budget& budget, std::optional<std::uint64_t> length)
      : length_(length), io_(io), share_(budget) {}
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::optional<std::uint64_t> length() const { return length_; }

  // ---- who writes
  void write(const char* bytes, std::size_t n) {
    if (is_over()) return;
    held_.append(bytes, n);
    share_.keep(held_.capacity());
    wake(readable_);
  }
  bool has_room() const { return held_.size() < kRoom; }
  bool is_left() const { return left_; }
  // Calls once when there is room, or the reader has left.
  void when_room(Wake then) {
    room_ = std::move(then);
    if (has_room() || left_) wake(room_);
  }
  // Calls when the reader leaves, whatever the writer waits for.
  void when_left(Wake then) { on_left_ = std::move(then); }
  // All is written.
  void finish() {
    if (is_over()) return;
    whole_ = true;
    room_ = on_left_ = nullptr;
    wake(readable_);
  }
  // There will be no more, though it is not all.
  void break_off() {
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
    share_.keep(0);
    wake(room_);
    return out;
  }
  bool touched() const { return touched_; }  // something is gone from it
  bool is_whole() const { return whole_ && held_.empty(); }
  bool is_broken() const { return broken_; }
  // Calls once when there is something, or nothing more to come.
  void when_readable(Wake then) {
    readable_ = std::move(then);
    if (!held_.empty() || whole_ || broken_) wake(readable_);
  }
  // Wants no more.
  void leave() {
    readable_ = nullptr;
    if (is_over()) return;
    left_ = true;
    held_.clear();
    held_.shrink_to_fit();
    share_.keep(0);
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
  Budget::Share share_;
  std::string held_;
  Wake room_, readable_, on_left_;
  bool whole_ = false, broken_ = false, left_ = false, touched_ = false;
};

}  // namespace nettleyoke::node
