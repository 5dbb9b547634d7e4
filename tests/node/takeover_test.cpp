/// @file
/// Process takeover: a second process takes over from the first, with which it shares the listening socket
/// and the set of disabled servers.
#include <fcntl.h>
#include <gtest/gtest.h>

#include <fstream>

#include "admin_harness.h"
#include "harness/platform.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

TEST(Takeover, SecondProcessTakesOverWithoutLosingRequests) {
  Gate gate;
  FakeServer server([&](Connection& connection, const std::string& request) {
    if (request.find("slow") != std::string::npos) gate.wait();
    return connection.write(http_response(200, "ok"));
  });
  const Platform platform;
  Deployment old_node({&server}, with_admin_server(), platform.start_options());
  Connection busy = old_node.client();
  Connection idle = old_node.client();
  busy.write(RequestBuilder{.id = "slow"}.text());
  EXPECT_EQ(status_of(exchange(idle, {.id = "first"})), 200);
  ASSERT_TRUE(server.eventually_received(2));

  NodeProcess new_node(old_node.config.text(), platform.start_options());
  EXPECT_EQ(new_node.port(), old_node.program->port());
  EXPECT_TRUE(eventually([&] { return new_node.admin_command("READY") == "YES\n"; }));
  old_node.program->signal(SIGTERM);
  EXPECT_TRUE(eventually([&] { return old_node.program->admin_command("READY").substr(0, 3) == "NO "; }));
  // The old process serves one more request on an open connection and closes it with the response; new
  // connections go to the new process.
  const std::string last = exchange(idle, {.id = "second"});
  EXPECT_EQ(status_of(last), 200);
  EXPECT_EQ(field_of(last, "Connection"), "close");
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(status_of(old_node.response_to({.id = "new" + std::to_string(i)})), 200);
  EXPECT_GE(count_by_class(new_node, "success", "close"), 20);
  gate.open();
  EXPECT_EQ(status_of(busy.read_message()), 200);
  EXPECT_EQ(old_node.program->exit_status(), 0);
  EXPECT_EQ(status_of(old_node.response_to({.id = "after"})), 200)
      << "the listening socket must outlive the old process";
}

TEST(Takeover, DisabledServersAreSharedAndOutliveTheOldProcess) {
  FakeServer one(always_reply(200, "one"));
  FakeServer two(always_reply(200, "two"));
  const Platform platform;
  Deployment old_node({&one, &two}, with_admin_server(), platform.start_options());
  EXPECT_EQ(old_node.program->admin_command("DISABLE s0"), "YES\n");
  const NodeProcess new_node(old_node.config.text(), platform.start_options());
  EXPECT_EQ(metric(new_node, "hosts_down"), 1) << "the new process must have the shared set from its start";
  EXPECT_EQ(new_node.admin_command("DISABLE s1"), "YES\n");
  EXPECT_TRUE(eventually([&] { return metric(*old_node.program, "hosts_down") == 2; }));
  EXPECT_EQ(old_node.program->admin_command("ENABLE s0"), "YES\n");
  EXPECT_TRUE(eventually([&] { return metric(new_node, "hosts_down") == 1; }));
  old_node.program->signal(SIGTERM);
  EXPECT_EQ(old_node.program->exit_status(), 0);
  EXPECT_EQ(body_of(old_node.response_to({.id = "left"})), "one");
}

TEST(Takeover, MalformedFileOfDisabledServersIsIgnored) {
  FakeServer server(always_reply(200, "ok"));
  const Platform platform;
  for (const char* text : {"", "{", "[1]", R"({"disabled":[7]})", R"({"disabled":"s0"})"}) {
    std::ofstream(platform.disabled_servers_path()) << text;
    Deployment deployment({&server}, with_admin_server(), platform.start_options());
    EXPECT_EQ(deployment.program->count_in_log("file ignored"), 1) << text;
    EXPECT_EQ(status_of(deployment.response_to({.id = "r"})), 200);
    EXPECT_EQ(deployment.program->admin_command("DISABLE s0"), "YES\n");
  }
}

TEST(Takeover, WithoutAWritableDirectoryDisablingAppliesToTheProcess) {
  FakeServer server(always_reply(200, "ok"));
  Deployment deployment({&server}, with_admin_server(), {.environment = {{"TMPDIR", "/nowhere/at/all"}}});
  EXPECT_EQ(deployment.program->admin_command("DISABLE s0"), "YES\n");
  EXPECT_EQ(status_of(deployment.response_to({.id = "r"})), 503);
  EXPECT_EQ(deployment.program->count_in_log("cannot write"), 1);
}

TEST(Takeover, InvalidInheritedListenerEndsTheProcess) {
  const FileDescriptor plain(::open("/dev/null", O_RDONLY));
  for (const char* text : {"7", "x", "-1", "1000000"}) {
    NodeProcess program(NodeConfig{}.text(), {.wait_for_start = false,
                                              .environment = {{"RELAY_LISTEN_FD", text}},
                                              .inherited_listener = plain.get()});
    EXPECT_EQ(program.exit_status(), 2);
    EXPECT_EQ(program.count_in_log("RELAY_LISTEN_FD"), 1) << program.log();
  }
}

}  // namespace
}  // namespace nettleyoke::node
