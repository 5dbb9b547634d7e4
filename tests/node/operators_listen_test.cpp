/// The operators' address, while another process holds it.
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// The environment's address comes first, and a reload knows the file's alone.
TEST(OperatorsListen, AddressInUseDuringAReload_BecomesFree_IsListenedOn) {
  Fd holder(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(holder.get(), reinterpret_cast<sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(holder.get(), 1), 0);
  ASSERT_EQ(::getsockname(holder.get(), reinterpret_cast<sockaddr*>(&address), &size), 0);
  const int port = ntohs(address.sin_port);
  const std::string config = ConfigText{}.text();
  const Program program(config, 0, true, {{"RELAY_OPS", "127.0.0.1:" + std::to_string(port)}});
  program.reload(config);
  ASSERT_TRUE(eventually([&] { return program.logged("reload: ") == 1; })) << program.log();
  holder.reset();
  EXPECT_TRUE(eventually([&] { return program.operators_port() == port; })) << program.log();
}

}  // namespace
}  // namespace nettleyoke::node
