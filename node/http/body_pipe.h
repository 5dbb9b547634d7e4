/// @file
/// A message body on its way from one connection to another, a chunk at a time. Owns the bytes in between and
/// reserves memory for them; never touches a socket.
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

/// One writer, one reader, both in the same event loop. The writer waits while the pipe is full, the reader
/// while it is empty; each may leave before the end. Callbacks are posted to the event loop and never run
/// from within a call: the other side may be in the midst of one of its own.
class BodyPipe {
 public:
  using Callback = std::function<void()>;
  /// Bytes in the pipe from which on the writer has to wait. One write may exceed it.
  static constexpr std::size_t kCapacity = std::size_t{32} * 1024;

  /// @param length  bytes of the complete body, where known.
  BodyPipe(boost::asio::io_context& io, MemoryBudget& budget, std::optional<std::uint64_t> length)
      : length_(length), io_(io), reservation_(budget) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  /// Bytes of the complete body, where known.
  std::optional<std::uint64_t> length() const { return length_; }

  /// @name For the writer
  /// @{

  /// Adds bytes, also beyond the capacity; dropped once the pipe has ended.
  void write(const char* bytes, std::size_t size) {
    if (has_ended()) return;
    buffer_.append(bytes, size);
    reservation_.resize(buffer_.capacity());
    post(on_readable_);
  }
  /// Whether the pipe is below its capacity.
  bool is_writable() const { return buffer_.size() < kCapacity; }
  /// Whether the reader wants no more.
  bool is_reader_closed() const { return end_ == End::kReaderClosed; }
  /// Calls once when the pipe is writable or its reader has left.
  void when_writable(Callback callback) {
    on_writable_ = std::move(callback);
    if (is_writable() || is_reader_closed()) post(on_writable_);
  }
  /// Calls once when the reader leaves, whatever else the writer waits for.
  void when_reader_closed(Callback callback) { on_reader_closed_ = std::move(callback); }
  /// The body is complete.
  void finish() { end_by_writer(End::kFinished); }
  /// Nothing more comes, though the body is not complete.
  void abort() { end_by_writer(End::kAborted); }

  /// @}
  /// @name For the reader
  /// @{

  /// What has been written since the last call; empty where there is nothing now.
  std::string take() {
    has_been_read_ |= !buffer_.empty();
    std::string taken = std::exchange(buffer_, {});
    reservation_.resize(0);
    post(on_writable_);
    return taken;
  }
  /// Whether a part of the body has been consumed.
  bool has_been_read() const { return has_been_read_; }
  /// Whether the body was finished and all of it is taken.
  bool is_complete() const { return end_ == End::kFinished && buffer_.empty(); }
  /// Whether the writer gave up before the end.
  bool is_aborted() const { return end_ == End::kAborted; }
  /// Calls once when there are bytes, or the writer has ended.
  void when_readable(Callback callback) {
    on_readable_ = std::move(callback);
    if (!buffer_.empty() || end_ == End::kFinished || end_ == End::kAborted) post(on_readable_);
  }
  /// The reader wants no more: what is left is dropped and the writer notified.
  void close_reader() {
    on_readable_ = nullptr;
    if (has_ended()) return;
    end_ = End::kReaderClosed;
    buffer_.clear();
    buffer_.shrink_to_fit();
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
  MemoryBudget::Reservation reservation_;
  std::string buffer_;
  Callback on_writable_;
  Callback on_readable_;
  Callback on_reader_closed_;
  End end_ = End::kOpen;
  bool has_been_read_ = false;
};

}  // namespace nettleyoke::node
