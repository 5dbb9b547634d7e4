// A body between two connections, without the connections.
#include "http/body_pipe.h"

#include <gtest/gtest.h>

#include <string>

namespace nettleyoke::node {
namespace {

class BodyPipeTest : public ::testing::Test {
 protected:
  BodyPipeTest() { budget_.set_limit(std::size_t{1} << 20); }
  void write(const std::string& bytes) { pipe_.write(bytes.data(), bytes.size()); }
  void fill() { write(std::string(BodyPipe::kCapacity, 'x')); }
  BodyPipe::Callback count() {
    return [this] { ++calls_; };
  }
  /// Runs what was posted.
  int calls_after_a_turn() {
    io_.restart();
    io_.poll();
    return calls_;
  }

  MemoryBudget budget_;
  boost::asio::io_context io_;
  BodyPipe pipe_{io_, budget_, std::nullopt};
  int calls_ = 0;
};

TEST_F(BodyPipeTest, BytesWrittenAreTakenOnceInTheirOrder) {
  write("ab");
  write("cd");
  EXPECT_EQ(pipe_.take(), "abcd");
  EXPECT_EQ(pipe_.take(), "");
}

TEST_F(BodyPipeTest, FinishedPipeIsCompleteOnlyWhenAllIsTaken) {
  write("ab");
  pipe_.finish();
  EXPECT_FALSE(pipe_.is_complete());
  EXPECT_EQ(pipe_.take(), "ab");
  EXPECT_TRUE(pipe_.is_complete());
}

TEST_F(BodyPipeTest, WaitingReaderIsCalledOnceWhenBytesComeAndNotFromWithinTheWrite) {
  pipe_.when_readable(count());
  write("a");
  write("b");
  EXPECT_EQ(calls_, 0);
  EXPECT_EQ(calls_after_a_turn(), 1);
}

TEST_F(BodyPipeTest, WaitingReaderIsCalledWhenTheWriterAborts) {
  pipe_.when_readable(count());
  pipe_.abort();
  EXPECT_TRUE(pipe_.is_aborted());
  EXPECT_FALSE(pipe_.is_complete());
  EXPECT_EQ(calls_after_a_turn(), 1);
}

TEST_F(BodyPipeTest, FullPipeCallsItsWriterWhenTheReaderTakes) {
  fill();
  EXPECT_FALSE(pipe_.is_writable());
  pipe_.when_writable(count());
  EXPECT_EQ(calls_after_a_turn(), 0);
  pipe_.take();
  EXPECT_EQ(calls_after_a_turn(), 1);
}

TEST_F(BodyPipeTest, WaitingWriterIsCalledWhenTheReaderCloses) {
  fill();
  pipe_.when_writable(count());
  pipe_.when_reader_closed(count());
  pipe_.close_reader();
  EXPECT_TRUE(pipe_.is_reader_closed());
  EXPECT_EQ(calls_after_a_turn(), 2);
}

TEST_F(BodyPipeTest, WriteAfterTheReaderClosedIsDropped) {
  pipe_.close_reader();
  write("late");
  EXPECT_EQ(pipe_.take(), "");
  EXPECT_EQ(budget_.used(), 0U);
}

TEST_F(BodyPipeTest, AbortAfterFinishChangesNothing) {
  pipe_.finish();
  pipe_.abort();
  EXPECT_FALSE(pipe_.is_aborted());
  EXPECT_TRUE(pipe_.is_complete());
}

TEST_F(BodyPipeTest, ReaderThatClosesAfterTheFinishLeavesTheBodyComplete) {
  pipe_.finish();
  pipe_.close_reader();
  EXPECT_FALSE(pipe_.is_reader_closed());
  EXPECT_TRUE(pipe_.is_complete());
}

TEST_F(BodyPipeTest, WriterThatFinishedIsNotCalledAnyMore) {
  fill();
  pipe_.when_writable(count());
  pipe_.when_reader_closed(count());
  pipe_.finish();
  pipe_.take();
  EXPECT_EQ(calls_after_a_turn(), 0);
}

TEST_F(BodyPipeTest, BytesInThePipeAreReservedUntilTheyAreTakenOrDropped) {
  fill();
  EXPECT_GE(budget_.used(), BodyPipe::kCapacity);
  pipe_.take();
  EXPECT_EQ(budget_.used(), 0U);
  fill();
  pipe_.close_reader();
  EXPECT_EQ(budget_.used(), 0U);
}

TEST_F(BodyPipeTest, PipeCountsAsReadOnlyOnceBytesWereTaken) {
  pipe_.take();
  EXPECT_FALSE(pipe_.has_been_read());
  write("a");
  EXPECT_FALSE(pipe_.has_been_read());
  pipe_.take();
  EXPECT_TRUE(pipe_.has_been_read());
}

}  // namespace
}  // namespace nettleyoke::node
