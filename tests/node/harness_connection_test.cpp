/// @file
/// The blocking connection of the test harness: its calls end when the peer does.
#include <gtest/gtest.h>

#include <string>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// Prevents this failure: the call went round for ever once the node had closed the connection, and the test
// run hung.
TEST(HarnessConnection, WriteUntilBlockedEndsOnceThePeerHasClosed) {
  const Listener listener([](Connection& peer) { peer.reset(); });
  Connection connection = Connection::to(listener.port());
  connection.read_to_end();  // until the reset
  connection.write_until_blocked(std::string(kMebibyte, 'x'), 100);
  EXPECT_FALSE(connection.write("x")) << "the connection must have ended";
}

}  // namespace
}  // namespace nettleyoke::node
