/// @file
/// Unit tests of UploadClock: from when the time of a streamed request counts.
#include "downstream/upload_clock.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

using namespace std::chrono_literals;

class UploadClockTest : public ::testing::Test {
 protected:
  UploadClockTest() { clock.start(start, 700ms); }

  const Clock::Steady::time_point start{1h};
  UploadClock clock;
};

TEST_F(UploadClockTest, TimeOfABodyThatIsReadAtOnceCountsFromItsLastRead) {
  EXPECT_EQ(clock.last_byte_written_at(start + 5s), start + 5s);
  EXPECT_FALSE(clock.answer_due_at().has_value());
}

TEST_F(UploadClockTest, TimeCountsFromTheLastMomentAtWhichTheBodyWasIncomplete) {
  clock.on_drained(start + 1s);
  clock.on_blocked(start + 2s, std::nullopt);
  EXPECT_TRUE(clock.is_blocked());
  EXPECT_EQ(clock.answer_due_at(), start + 1700ms);
  clock.on_unblocked();
  clock.on_blocked(start + 3s, 1000);
  EXPECT_EQ(clock.answer_due_at(), start + 1700ms);
  clock.on_unblocked();
  EXPECT_EQ(clock.last_byte_written_at(start + 4s), start + 1s);
}

TEST_F(UploadClockTest, BytesThatAreReadLaterShowThatTheBodyWasIncomplete) {
  clock.on_blocked(start + 1s, std::nullopt);
  clock.on_unblocked();
  clock.on_drained(start + 2s);
  EXPECT_EQ(clock.last_byte_written_at(start + 3s), start + 3s);
}

TEST_F(UploadClockTest, ClientCannotHaveWrittenMoreThanTheSocketBuffersHold) {
  clock.on_blocked(start + 1s, 20'000'000);
  EXPECT_FALSE(clock.answer_due_at().has_value());
  clock.on_unblocked();
  clock.on_blocked(start + 2s, 10'000'000);
  EXPECT_EQ(clock.answer_due_at(), start + 1700ms);
}

}  // namespace
}  // namespace nettleyoke::node
