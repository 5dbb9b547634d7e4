/// @file
/// Passes a message body from one connection to another, a piece at a time. Owns the bytes that are written
/// and not yet read, and reserves memory for them; never uses a socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "http/memory_budget.h"

namespace nettleyoke::node {

/// Has one writer and one reader in the same event loop. The writer waits while the pipe is full, the reader
/// while it is empty. Either may stop before the end of the body. Callbacks are posted to the event loop and
/// never run inside a call to the pipe, because the other side may be in the middle of an operation.
class BodyPipe {
 public:
  using Callback = std::function<void()>;
  /// Once the pipe holds this many bytes, the writer has to wait. A single write may exceed it.
  static constexpr std::size_t kCapacity = std::size_t{32} * 1024;
  /// A pipe that may grow takes more than that while less than this fraction of the memory budget is in use.
  static constexpr double kGrowthMemoryFraction = 0.5;

  enum class Growth { kFixed, kWithinBudget };

  /// @param length  bytes of the complete body, if known
  BodyPipe(boost::asio::io_context& io, MemoryBudget& budget, std::optional<std::uint64_t> length,
           Growth growth = Growth::kFixed)
      : length_(length), io_(io), budget_(budget), growth_(growth), reservation_(budget) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  /// Bytes of the complete body, if known.
  std::optional<std::uint64_t> length() const { return length_; }

  /// @name For the writer
  /// @{

  /// Adds bytes, even beyond the capacity. Drops them if either side has ended the pipe.
  void write(const char* bytes, std::size_t size) {
    if (size == 0 || has_ended()) return;
    if (pieces_.empty() || pieces_.back().size() >= kCapacity) {
      memory_bytes_ += pieces_.emplace_back().capacity();
    }
    std::string& last = pieces_.back();
    memory_bytes_ -= last.capacity();
    last.append(bytes, size);
    memory_bytes_ += last.capacity();
    size_ += size;
    reservation_.resize(memory_bytes_);
    post(on_readable_);
  }
  /// Whether the pipe is below its capacity.
  bool is_writable() const {
    return size_ < kCapacity ||
           (growth_ == Growth::kWithinBudget && budget_.is_below_fraction(kGrowthMemoryFraction));
  }
  /// Whether the reader has called close_reader() before the writer ended the body.
  bool is_reader_closed() const { return end_ == End::kReaderClosed; }
  /// Calls `callback` once, when the pipe is writable or its reader is closed.
  void when_writable(Callback callback) {
    on_writable_ = std::move(callback);
    if (is_writable() || is_reader_closed()) post(on_writable_);
  }
  /// Calls `callback` once, when the reader is closed; independent of when_writable().
  void when_reader_closed(Callback callback) { on_reader_closed_ = std::move(callback); }
  /// Marks the body as complete.
  void finish() { end_by_writer(End::kFinished); }
  /// Ends the body before it is complete.
  void abort() { end_by_writer(End::kAborted); }

  /// @}
  /// @name For the reader
  /// @{

  /// Removes and returns the next bytes in the pipe, at least all if there are fewer than kCapacity; empty if
  /// there are none at present.
  std::string take() {
    if (pieces_.empty()) return {};
    has_been_read_ = true;
    std::string taken = std::move(pieces_.front());
    pieces_.pop_front();
    memory_bytes_ -= taken.capacity();
    size_ -= taken.size();
    reservation_.resize(memory_bytes_);
    post(on_writable_);
    return taken;
  }
  /// Whether the reader has taken a part of the body.
  bool has_been_read() const { return has_been_read_; }
  /// Whether the writer has finished the body and the reader has taken all of it.
  bool is_complete() const { return end_ == End::kFinished && pieces_.empty(); }
  /// Whether the writer ended the body before it was complete.
  bool is_aborted() const { return end_ == End::kAborted; }
  /// Calls `callback` once, when the pipe holds bytes or the writer has finished or aborted the body.
  void when_readable(Callback callback) {
    on_readable_ = std::move(callback);
    if (!pieces_.empty() || end_ == End::kFinished || end_ == End::kAborted) post(on_readable_);
  }
  /// Ends the pipe from the reader's side: drops the remaining bytes and notifies the writer.
  void close_reader() {
    on_readable_ = nullptr;
    if (has_ended()) return;
    end_ = End::kReaderClosed;
    pieces_.clear();
    size_ = memory_bytes_ = 0;
    reservation_.resize(0);
    post(on_writable_);
    post(on_reader_closed_);
  }

  /// @}

 private:
  enum class End { kOpen, kFinished, kAborted, kReaderClosed };

  bool has_ended() const { return end_ != End::kOpen; }

  void end_by_writer(End end) {
    if (has_ended()) return;
    end_ = end;
    on_writable_ = on_reader_closed_ = nullptr;
    post(on_readable_);
  }

  void post(Callback& callback) {
    if (callback) boost::asio::post(io_, std::exchange(callback, nullptr));
  }

  std::optional<std::uint64_t> length_;
  boost::asio::io_context& io_;
  MemoryBudget& budget_;
  Growth growth_;
  MemoryBudget::Reservation reservation_;
  std::deque<std::string> pieces_;  // none is empty
  std::size_t size_ = 0;            // bytes in `pieces_`
  std::size_t memory_bytes_ = 0;    // allocated by `pieces_`
  Callback on_writable_;
  Callback on_readable_;
  Callback on_reader_closed_;
  End end_ = End::kOpen;
  bool has_been_read_ = false;
};

}  // namespace nettleyoke::node
