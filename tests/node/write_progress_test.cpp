/// @file
/// Unit tests of WriteProgress: whether a client still takes the response that is written to it.
#include "downstream/write_progress.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

using namespace std::chrono_literals;

class WriteProgressTest : public ::testing::Test {
 protected:
  WriteProgressTest() { progress.start(start); }

  const WriteProgress::TimePoint start{1h};
  WriteProgress progress;
};

TEST_F(WriteProgressTest, ClientThatTakesNothingHasStalledAfterTheLongestPause) {
  progress.on_written(start, 100000);
  for (auto at = 1s; at < 10s; at += 1s) {
    progress.on_check(start + at, 100000);
    EXPECT_FALSE(progress.has_stalled(start + at)) << at.count();
  }
  EXPECT_TRUE(progress.has_stalled(start + 10s));
  EXPECT_EQ(progress.acknowledged_bytes(), 0U);
}

TEST_F(WriteProgressTest, AcknowledgedBytesAreProgress) {
  progress.on_written(start, 100000);
  progress.on_check(start + 8s, 100000);
  progress.on_check(start + 9s, 99999);
  EXPECT_FALSE(progress.has_stalled(start + 18s));
  EXPECT_TRUE(progress.has_stalled(start + 20s));
}

TEST_F(WriteProgressTest, AcceptedBytesAreProgressAndStartTheComparisonAnew) {
  progress.on_check(start + 1s, 50);
  progress.on_written(start + 9s, 100);
  EXPECT_FALSE(progress.is_checked());
  progress.on_check(start + 10s, 10);
  EXPECT_FALSE(progress.has_stalled(start + 18s));
  EXPECT_TRUE(progress.has_stalled(start + 20s)) << "the first check compares with nothing";
}

TEST_F(WriteProgressTest, WaitForTheServerIsNoPauseOfTheClient) {
  progress.on_written(start, 100);
  progress.on_resumed(start + 60s);
  EXPECT_FALSE(progress.has_stalled(start + 69s));
  EXPECT_TRUE(progress.has_stalled(start + 71s));
}

// At half of 64 kB/s a client takes 65.5 s for a quarter of a full buffer of 8 MiB.
TEST_F(WriteProgressTest, PauseMayBeLongerWhereTheClientsSystemMayHoldMuch) {
  progress.on_written(start, 12 << 20);
  progress.on_check(start, 4 << 20);
  EXPECT_FALSE(progress.has_stalled(start + 75s));
  EXPECT_TRUE(progress.has_stalled(start + 76s));
}

TEST_F(WriteProgressTest, NextResponseStartsAnew) {
  progress.on_written(start, 12 << 20);
  progress.start(start + 60s);
  EXPECT_FALSE(progress.has_stalled(start + 69s));
  EXPECT_TRUE(progress.has_stalled(start + 70s));
}

}  // namespace
}  // namespace nettleyoke::node
