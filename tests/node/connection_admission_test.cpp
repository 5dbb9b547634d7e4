/// @file
/// Admission of clients when a node runs out of file descriptors or connections: which clients it accepts,
/// and which connections it evicts for them.
#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <filesystem>
#include <set>
#include <vector>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

std::set<rlim_t> descriptors_of(const NodeProcess& program) {
  std::set<rlim_t> numbers;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(program.pid()) + "/fd")) {
    const std::string name = entry.path().filename();
    rlim_t number = 0;
    std::from_chars(name.data(), name.data() + name.size(), number);
    numbers.insert(number);
  }
  return numbers;
}

// Lets the node open no further descriptor, however many it and its sanitizer have open. RLIMIT_NOFILE limits
// the descriptor numbers, so the limit is set to the lowest free number. The destructor restores the limit.
class DescriptorExhaustion {
 public:
  explicit DescriptorExhaustion(const NodeProcess& program) : pid_(program.pid()) {
    const std::set<rlim_t> open = descriptors_of(program);
    rlim_t lowest_free = 0;
    while (open.contains(lowest_free)) ++lowest_free;
    ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &original_limit_);
    const rlimit limit{lowest_free, original_limit_.rlim_max};
    EXPECT_EQ(::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr), 0);
  }
  ~DescriptorExhaustion() { ::prlimit(pid_, RLIMIT_NOFILE, &original_limit_, nullptr); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

 private:
  pid_t pid_;
  rlimit original_limit_{};
};

// Without a descriptor for a new connection, the listener must not busy-loop, and clients must not wait in
// its queue for nothing.
TEST(ConnectionAdmission, WithoutFreeDescriptorNewClientIsRejectedOrReplacesAnIdleOne) {
  Gate gate;
  FakeServer server([&](Connection& connection, const std::string& request) {
    if (field_of(request, "X-Request-ID") == "busy") gate.wait();
    return connection.write(http_response(200, "ok"));
  });
  Listener discovery(
      [](Connection& connection) {  // a watch that stays open, so that its descriptor is not freed
        if (connection.read_message().empty()) return;
        connection.write(kChunkedResponseHead);
        while (connection.write(http_chunk("\n"))) std::this_thread::sleep_for(100ms);
      });
  NodeProcess program(config_with_server(server.address(), discovery.address()).text());
  Connection busy = Connection::to(program.port());
  ASSERT_EQ(status_of(exchange(busy, get_request("first"))), 200);
  ASSERT_TRUE(eventually([&] { return discovery.open_connections() == 1; }));
  busy.write(get_request("busy").text());
  ASSERT_TRUE(server.eventually_received(2));
  const DescriptorExhaustion exhaustion(program);
  for (const char* id : {"rejected1", "rejected2"}) {
    Connection client = Connection::to(program.port());
    const std::string response = exchange(client, get_request(id));
    EXPECT_EQ(status_of(response), 503) << id;
    EXPECT_EQ(field_of(response, "Connection"), "close");
    EXPECT_EQ(client.read_to_end(), "");
  }
  gate.open();
  ASSERT_EQ(status_of(busy.read_message()), 200);
  Connection client = Connection::to(program.port());
  EXPECT_EQ(status_of(exchange(client, get_request("served"))), 200);
  EXPECT_EQ(busy.read_to_end(), "") << "the idle connection was not evicted";
}

// Runs in both modes of the server registry.
class IdleConnections : public testing::TestWithParam<const char*> {};

INSTANTIATE_TEST_SUITE_P(Mode, IdleConnections, testing::Values("subscribe", "automatic"),
                         [](const auto& info) { return std::string(info.param); });

// Idle clients that use up the descriptors while discovery is down must not keep the node from serving active
// clients and admin commands, from finishing requests in flight, from opening the next watch, or from
// connecting to a new server.
TEST_P(IdleConnections, WhileDiscoveryIsDownDoNotKeepOutActiveClients) {
  Gate gate;
  FakeServer one([&](Connection& connection, const std::string& request) {
    if (field_of(request, "X-Request-ID") == "busy") gate.wait();
    return connection.write(http_response(200, "one"));
  });
  FakeServer two(always_reply(200, "two"));
  const int port = unused_port();
  constexpr rlim_t kDescriptorLimit = 128;
  NodeConfig config;
  config.discovery = "127.0.0.1:" + std::to_string(port);  // refused
  config.initial_endpoint_list = endpoint_list(7, true, endpoint("s0", one.address()));
  config.registry_mode = GetParam();
  config.sockets = kDescriptorLimit;
  config.admin = "127.0.0.1:0";
  NodeProcess program(config.text(), {.descriptor_limit = kDescriptorLimit});
  Connection busy = Connection::to(program.port());
  busy.write(get_request("busy").text());
  ASSERT_TRUE(one.eventually_received(1));
  std::deque<Connection> idle;
  const auto connect_idle_clients = [&](int count) {
    for (int i = 0; i < count; ++i) {
      idle.push_back(Connection::to(program.port()));
      if (i % 2 == 0) idle.back().write(kHealthRequest);  // the others send nothing
    }
    while (idle.size() > 400) idle.pop_front();
  };
  connect_idle_clients(200);
  int count = 0;
  const auto body_of_next = [&] {
    Connection client = Connection::to(program.port());
    const std::string response = exchange(client, get_request("r" + std::to_string(++count)));
    EXPECT_EQ(status_of(response), 200) << count;
    idle.push_back(std::move(client));
    return body_of(response);
  };
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(body_of_next(), "one");
    connect_idle_clients(10);
    EXPECT_NE(program.admin_command("STATS").find(R"("hosts_listed":1,)"), std::string::npos);
    EXPECT_LE(descriptors_of(program).size(), kDescriptorLimit);
  }
  FakeDiscovery discovery(port);
  ASSERT_TRUE(discovery.send_list(endpoint_list(
      8, true, endpoint("s0", one.address(), "draining") + "," + endpoint("s1", two.address()))));
  EXPECT_TRUE(eventually([&] {
    connect_idle_clients(10);
    return body_of_next() == "two";
  }));
  gate.open();
  EXPECT_EQ(body_of(busy.read_message()), "one");
}

// A connection must not be evicted while it has an unread request.
TEST(ConnectionAdmission, UnreadRequestOnAConnectionToBeEvictedIsAnswered) {
  OneServerDeployment deployment(always_reply(200, "ok"),
                                 {.sockets = 64});  // 20 client connections, and 5 for rejections
  std::vector<Connection> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(deployment.client());
    ASSERT_EQ(health_status(clients.back()), 200);
  }
  deployment.program->suspend();
  for (int i = 0; i < 20; ++i) clients.push_back(deployment.client());
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i].write(get_request("r" + std::to_string(i)).text());
  deployment.program->resume();
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const int status = status_of(clients[i].read_message());
    EXPECT_TRUE(status == 200 || status == 503) << i << ": " << status;
  }
}

TEST(ConnectionAdmission, ClientEvictedDuringItsRequestIsRejected) {
  OneServerDeployment deployment(always_reply(200, "ok"), {.sockets = 64});  // 20 client connections
  std::vector<Connection> slow;
  for (int i = 0; i < 20; ++i) {
    slow.push_back(deployment.client());
    slow.back().write("GET /look/k1 HTTP/1.1\r\n");
  }
  // A later client is served only after one of the slow ones is evicted; by then the node has read from all.
  int count = 0;
  ASSERT_TRUE(eventually([&] {
    Connection late = deployment.client();
    return status_of(exchange(late, get_request("late" + std::to_string(++count)))) == 200;
  }));
  const std::string response = slow.front().read_message();
  EXPECT_EQ(status_of(response), 503);
  EXPECT_EQ(field_of(response, "Connection"), "close");
}

TEST(ConnectionAdmission, ServesAgainAfterRunningOutOfDescriptors) {
  FakeServer server(always_reply(200, "ok"));
  NodeConfig config;
  config.sockets = 1024;
  Deployment deployment({&server}, config, {.descriptor_limit = 64});
  {
    std::vector<Connection> clients;
    clients.reserve(200);
    for (int i = 0; i < 200; ++i) clients.push_back(deployment.client());
    ASSERT_TRUE(deployment.program->is_running());
  }
  EXPECT_TRUE(deployment.eventually_answers_with_status(200));
}

}  // namespace
}  // namespace nettleyoke::node
