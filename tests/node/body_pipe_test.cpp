/// @file
/// The body pipe by itself, without connections.
#include "http/body_pipe.h"

#include <gtest/gtest.h>

#include <string>

namespace nettleyoke::node {
namespace {

class BodyPipeTest : public ::testing::Test {
 protected:
  BodyPipeTest() { budget.set_limit(budget_bytes); }
  void write(const std::string& bytes) { pipe.write(bytes.data(), bytes.size()); }
  void fill() { write(std::string(BodyPipe::kCapacity, 'x')); }
  BodyPipe::Callback counting_callback() {
    return [this] { ++calls; };
  }
  /// Runs the posted handlers.
  /// @return the number of callbacks so far
  int calls_after_poll() {
    io.restart();
    io.poll();
    return calls;
  }

  const std::size_t budget_bytes = std::size_t{1} << 20;
  MemoryBudget budget;
  boost::asio::io_context io;
  BodyPipe pipe{io, budget, std::nullopt};
  int calls = 0;
};

TEST_F(BodyPipeTest, WrittenBytesAreTakenOnceAndInOrder) {
  write("ab");
  write("cd");
  EXPECT_EQ(pipe.take(), "abcd");
  EXPECT_EQ(pipe.take(), "");
}

TEST_F(BodyPipeTest, FinishedPipeIsCompleteOnlyOnceAllBytesAreTaken) {
  write("ab");
  pipe.finish();
  EXPECT_FALSE(pipe.is_complete());
  EXPECT_EQ(pipe.take(), "ab");
  EXPECT_TRUE(pipe.is_complete());
}

TEST_F(BodyPipeTest, WaitingReaderIsCalledOnceAfterWritesAndNotDuringThem) {
  pipe.when_readable(counting_callback());
  write("a");
  write("b");
  EXPECT_EQ(calls, 0);
  EXPECT_EQ(calls_after_poll(), 1);
}

TEST_F(BodyPipeTest, WaitingReaderIsCalledWhenTheWriterAborts) {
  pipe.when_readable(counting_callback());
  pipe.abort();
  EXPECT_TRUE(pipe.is_aborted());
  EXPECT_FALSE(pipe.is_complete());
  EXPECT_EQ(calls_after_poll(), 1);
}

TEST_F(BodyPipeTest, FullPipeCallsItsWriterWhenTheReaderTakes) {
  fill();
  EXPECT_FALSE(pipe.is_writable());
  pipe.when_writable(counting_callback());
  EXPECT_EQ(calls_after_poll(), 0);
  pipe.take();
  EXPECT_EQ(calls_after_poll(), 1);
}

TEST_F(BodyPipeTest, PipeThatMayGrowIsFullOnceHalfOfTheMemoryIsUsed) {
  BodyPipe growing{io, budget, std::nullopt, BodyPipe::Growth::kWithinBudget};
  const std::string piece(BodyPipe::kCapacity, 'x');
  std::size_t written = 0;
  for (; growing.is_writable() && written < budget_bytes; written += piece.size()) {
    growing.write(piece.data(), piece.size());
  }
  EXPECT_GE(budget.used(), budget_bytes / 2);
  EXPECT_LT(written, budget_bytes);
  std::size_t taken = 0;
  for (std::string bytes = growing.take(); !bytes.empty(); bytes = growing.take()) taken += bytes.size();
  EXPECT_EQ(taken, written);
  EXPECT_EQ(budget.used(), 0U);
}

TEST_F(BodyPipeTest, WaitingWriterIsCalledWhenTheReaderCloses) {
  fill();
  pipe.when_writable(counting_callback());
  pipe.when_reader_closed(counting_callback());
  pipe.close_reader();
  EXPECT_TRUE(pipe.is_reader_closed());
  EXPECT_EQ(calls_after_poll(), 2);
}

TEST_F(BodyPipeTest, WriteAfterTheReaderClosedIsDropped) {
  pipe.close_reader();
  write("late");
  EXPECT_EQ(pipe.take(), "");
  EXPECT_EQ(budget.used(), 0U);
}

TEST_F(BodyPipeTest, AbortAfterFinishChangesNothing) {
  pipe.finish();
  pipe.abort();
  EXPECT_FALSE(pipe.is_aborted());
  EXPECT_TRUE(pipe.is_complete());
}

TEST_F(BodyPipeTest, ReaderThatClosesAfterFinishLeavesTheBodyComplete) {
  pipe.finish();
  pipe.close_reader();
  EXPECT_FALSE(pipe.is_reader_closed());
  EXPECT_TRUE(pipe.is_complete());
}

TEST_F(BodyPipeTest, FinishedWriterIsNotCalledAnyMore) {
  fill();
  pipe.when_writable(counting_callback());
  pipe.when_reader_closed(counting_callback());
  pipe.finish();
  pipe.take();
  EXPECT_EQ(calls_after_poll(), 0);
}

TEST_F(BodyPipeTest, BytesInThePipeAreReservedUntilTheyAreTakenOrDropped) {
  fill();
  EXPECT_GE(budget.used(), BodyPipe::kCapacity);
  pipe.take();
  EXPECT_EQ(budget.used(), 0U);
  fill();
  pipe.close_reader();
  EXPECT_EQ(budget.used(), 0U);
}

TEST_F(BodyPipeTest, PipeHasBeenReadOnlyOnceBytesAreTaken) {
  pipe.take();
  EXPECT_FALSE(pipe.has_been_read());
  write("a");
  EXPECT_FALSE(pipe.has_been_read());
  pipe.take();
  EXPECT_TRUE(pipe.has_been_read());
}

}  // namespace
}  // namespace nettleyoke::node
