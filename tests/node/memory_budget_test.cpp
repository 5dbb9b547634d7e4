/// @file
/// Unit tests of MemoryBudget and its reservations.
#include "http/memory_budget.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

class MemoryBudgetTest : public ::testing::Test {
 protected:
  MemoryBudgetTest() { budget.set_limit(100); }
  MemoryBudget budget;
};

TEST_F(MemoryBudgetTest, ReservationUpToTheLimitSucceeds) {
  MemoryBudget::Reservation reservation(budget);
  EXPECT_TRUE(reservation.try_resize(100));
  EXPECT_EQ(budget.used(), 100U);
}

TEST_F(MemoryBudgetTest, ReservationBeyondTheLimitFailsAndKeepsItsSize) {
  MemoryBudget::Reservation reservation(budget);
  ASSERT_TRUE(reservation.try_resize(40));
  EXPECT_FALSE(reservation.try_resize(101));
  EXPECT_EQ(budget.used(), 40U);
}

TEST_F(MemoryBudgetTest, SeveralReservationsShareOneLimit) {
  MemoryBudget::Reservation first(budget);
  MemoryBudget::Reservation second(budget);
  ASSERT_TRUE(first.try_resize(60));
  EXPECT_FALSE(second.try_resize(41));
  EXPECT_TRUE(second.try_resize(40));
}

TEST_F(MemoryBudgetTest, DestroyedReservationReleasesItsBytes) {
  {
    MemoryBudget::Reservation reservation(budget);
    ASSERT_TRUE(reservation.try_resize(70));
  }
  EXPECT_EQ(budget.used(), 0U);
}

TEST_F(MemoryBudgetTest, UncheckedResizeMayExceedTheLimit) {
  MemoryBudget::Reservation reservation(budget);
  reservation.resize(150);
  EXPECT_EQ(budget.used(), 150U);
  MemoryBudget::Reservation other(budget);
  EXPECT_FALSE(other.try_resize(1));
}

TEST_F(MemoryBudgetTest, ShrinkingSucceedsWhileTheLimitIsExceeded) {
  MemoryBudget::Reservation reservation(budget);
  reservation.resize(150);
  EXPECT_FALSE(reservation.try_resize(151));
  EXPECT_TRUE(reservation.try_resize(120));
  EXPECT_EQ(budget.used(), 120U);
}

TEST_F(MemoryBudgetTest, LimitSetBelowTheUsageRejectsGrowthOnly) {
  MemoryBudget::Reservation reservation(budget);
  ASSERT_TRUE(reservation.try_resize(80));
  budget.set_limit(50);
  EXPECT_FALSE(reservation.try_resize(81));
  EXPECT_TRUE(reservation.try_resize(80));
}

TEST_F(MemoryBudgetTest, UsageEqualToTheFractionIsNotBelowIt) {
  MemoryBudget::Reservation reservation(budget);
  reservation.resize(24);
  EXPECT_TRUE(budget.is_below_fraction(0.25));
  reservation.resize(25);
  EXPECT_FALSE(budget.is_below_fraction(0.25));
}

}  // namespace
}  // namespace nettleyoke::node
