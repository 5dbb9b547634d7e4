/// @file
/// The admin server's listening socket while another process holds the admin address.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// RELAY_OPS takes precedence over the configuration file, but a reload reads the file alone, which has no
// admin address here. The node must keep trying the address of RELAY_OPS.
TEST(AdminListen, AddressInUseDuringAReload_BecomesFree_NodeListensOnIt) {
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
