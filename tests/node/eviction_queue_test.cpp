/// @file
/// Which connection the eviction queue closes first, without sockets.
#include "downstream/eviction_queue.h"

#include <gtest/gtest.h>

#include <string>

namespace nettleyoke::node {
namespace {

using std::chrono::milliseconds;

class FakeConnection {
 public:
  using Evictions = EvictionQueue<FakeConnection>;

  explicit FakeConnection(milliseconds quiet_for) : quiet_for_(quiet_for) {}
  bool is_quiet_for(std::chrono::steady_clock::duration period) const { return quiet_for_ >= period; }
  bool has_unread_bytes() const { return has_unread_bytes_; }
  void evict() {
    is_evicted_ = true;
    entry_.remove();
  }

  void receive_bytes() { has_unread_bytes_ = true; }
  bool is_evicted() const { return is_evicted_; }
  Evictions::Entry& entry() { return entry_; }

 private:
  milliseconds quiet_for_;
  bool has_unread_bytes_ = false;
  bool is_evicted_ = false;
  Evictions::Entry entry_;
};

class EvictionQueueTest : public ::testing::Test {
 protected:
  void add_unproven(FakeConnection& connection) {
    queue.add(FakeConnection::Evictions::Kind::kUnproven, connection, connection.entry());
  }
  void add_idle(FakeConnection& connection) {
    queue.add(FakeConnection::Evictions::Kind::kIdle, connection, connection.entry());
  }
  FakeConnection::Evictions queue;
};

TEST_F(EvictionQueueTest, EmptyQueueEvictsNone) { EXPECT_FALSE(queue.evict_one()); }

TEST_F(EvictionQueueTest, QuietUnprovenConnectionIsEvictedBeforeAnIdleOne) {
  FakeConnection unproven(milliseconds(500));
  FakeConnection idle(milliseconds(9000));
  add_idle(idle);
  add_unproven(unproven);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(unproven.is_evicted());
  EXPECT_FALSE(idle.is_evicted());
}

TEST_F(EvictionQueueTest, LongIdleConnectionIsEvictedBeforeANewUnprovenOne) {
  FakeConnection unproven(milliseconds(499));
  FakeConnection idle(milliseconds(2000));
  add_unproven(unproven);
  add_idle(idle);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(idle.is_evicted());
}

TEST_F(EvictionQueueTest, NewUnprovenConnectionIsEvictedBeforeABrieflyIdleOne) {
  FakeConnection unproven(milliseconds(0));
  FakeConnection idle(milliseconds(1999));
  add_unproven(unproven);
  add_idle(idle);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(unproven.is_evicted());
}

TEST_F(EvictionQueueTest, BrieflyIdleConnectionIsEvictedIfThereIsNoOther) {
  FakeConnection idle(milliseconds(0));
  add_idle(idle);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(idle.is_evicted());
  EXPECT_EQ(queue.size(), 0U);
}

TEST_F(EvictionQueueTest, OldestOfSeveralIsEvictedFirst) {
  FakeConnection first(milliseconds(600));
  FakeConnection second(milliseconds(600));
  add_unproven(first);
  add_unproven(second);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(first.is_evicted());
  EXPECT_FALSE(second.is_evicted());
}

TEST_F(EvictionQueueTest, ConnectionWithUnreadBytesIsNotEvicted) {
  FakeConnection first(milliseconds(600));
  FakeConnection second(milliseconds(600));
  add_unproven(first);
  add_unproven(second);
  first.receive_bytes();
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(second.is_evicted());
  EXPECT_FALSE(queue.evict_one());
  EXPECT_FALSE(first.is_evicted());
}

TEST_F(EvictionQueueTest, ConnectionAddedAgainMovesToTheEndOfItsNewList) {
  FakeConnection moved(milliseconds(9000));
  FakeConnection other(milliseconds(9000));
  add_unproven(moved);
  add_idle(other);
  add_idle(moved);
  EXPECT_EQ(queue.size(), 2U);
  EXPECT_TRUE(queue.evict_one());
  EXPECT_TRUE(other.is_evicted());
}

TEST_F(EvictionQueueTest, RemovedConnectionIsNotEvictedAndMayBeRemovedAgain) {
  FakeConnection connection(milliseconds(9000));
  add_idle(connection);
  EXPECT_TRUE(connection.entry().is_queued());
  connection.entry().remove();
  connection.entry().remove();
  EXPECT_FALSE(connection.entry().is_queued());
  EXPECT_FALSE(queue.evict_one());
}

}  // namespace
}  // namespace nettleyoke::node
