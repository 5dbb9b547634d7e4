/// @file
/// The operators' address, while another process holds it.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// The environment's address comes first, and a reload knows the file's alone.
TEST(OperatorsListen, AddressInUseDuringAReload_BecomesFree_IsListenedOn) {
  Listener holder([](Connection&) {});
  const std::string config = NodeConfig{}.text();
  const NodeProcess node(config, {.environment = {{"RELAY_OPS", holder.address()}}});
  node.reload(config);
  ASSERT_TRUE(eventually([&] { return node.count_in_log("reload: ") == 1; })) << node.log();
  holder.stop();
  EXPECT_TRUE(eventually([&] { return node.admin_port() == holder.port(); })) << node.log();
}

}  // namespace
}  // namespace nettleyoke::node
