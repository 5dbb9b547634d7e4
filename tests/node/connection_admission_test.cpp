// The door: descriptors that idle clients fill while discovery is down, and who gets in.
#include <algorithm>
#include <charconv>
#include <filesystem>
#include <set>

#include "single_server_deployment.h"

namespace nettleyoke::node {
namespace {

const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

std::set<rlim_t> descriptors_of(const Program& program) {
  std::set<rlim_t> out;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(program.pid()) + "/fd")) {
    const std::string name = entry.path().filename();
    rlim_t number = 0;
    std::from_chars(name.data(), name.data() + name.size(), number);
    out.insert(number);
  }
  return out;
}

// Leaves a program no descriptor more than it has, whatever it and a sanitizer in it have open: the limit is
// one on the numbers that are given out.
class NoMoreDescriptors {
 public:
  explicit NoMoreDescriptors(const Program& program) : pid_(program.pid()) {
    const std::set<rlim_t> open = descriptors_of(program);
    rlim_t first_free = 0;
    while (open.contains(first_free)) ++first_free;
    ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &before_);
    const rlimit now{first_free, before_.rlim_max};
    EXPECT_EQ(::prlimit(pid_, RLIMIT_NOFILE, &now, nullptr), 0);
  }
  ~NoMoreDescriptors() { ::prlimit(pid_, RLIMIT_NOFILE, &before_, nullptr); }
  NoMoreDescriptors(const NoMoreDescriptors&) = delete;
  NoMoreDescriptors& operator=(const NoMoreDescriptors&) = delete;

 private:
  pid_t pid_;
  rlimit before_{};
};

// Guards against a listener that spins, and callers that wait in its queue in vain, where there is no
// descriptor for them.
TEST(Door, WhoFindsNoDescriptorIsToldSoOrTakesAnIdleOnesPlace) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string& request) {
    if (field_of(request, "X-Request-ID") == "held") gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  Listener discovery([](Wire& wire) {  // a watch that stays, so that no descriptor comes free with it
    if (wire.read_message().empty()) return;
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (wire.write(chunk("\n"))) std::this_thread::sleep_for(100ms);
  });
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", server.address()));
  Program program(config.text());
  Wire held = Wire::to(program.port());
  held.write(look("first").text());
  ASSERT_EQ(status_of(held.read_message()), 200);
  ASSERT_EQ(discovery.open(), 1);
  held.write(look("held").text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 2; }));
  const NoMoreDescriptors none(program);
  for (const char* id : {"told", "told too"}) {
    Wire client = Wire::to(program.port());
    client.write(look(id).text());
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 503) << id;
    EXPECT_EQ(field_of(answer, "Connection"), "close");
    EXPECT_EQ(client.read_rest(), "");
  }
  gate.open();
  ASSERT_EQ(status_of(held.read_message()), 200);
  Wire client = Wire::to(program.port());
  client.write(look("served").text());
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(held.read_rest(), "") << "it made way";
}

// In both ways to be told of changes.
class IdleCrowd : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Mode, IdleCrowd, testing::Values("subscribe", "automatic"),
                         [](const auto& with) { return std::string(with.param); });

// Guards against idle clients that hold the descriptors while discovery is down: who asks is served all the
// same, operators get through, what is open is not lost, and the next watch and the connections to a new
// server find theirs.
TEST_P(IdleCrowd, KeepsOutNobodyWhileDiscoveryIsDown) {
  Gate gate;
  FakeServer one([&](Wire& wire, const std::string& request) {
    if (field_of(request, "X-Request-ID") == "held") gate.wait();
    return wire.write(http_answer(200, "one"));
  });
  FakeServer two(replies(200, "two"));
  const int port = Listener([](Wire&) {}).port();
  constexpr rlim_t kMost = 128;
  ConfigText config;
  config.discovery = "127.0.0.1:" + std::to_string(port);  // refused
  config.known = list(7, true, member("s0", one.address()));
  config.mode = GetParam();
  config.sockets = kMost;
  config.ops = "127.0.0.1:0";
  Program program(config.text(), kMost);
  Wire held = Wire::to(program.port());
  held.write(look("held").text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() == 1; }));
  std::deque<Wire> idle;
  const auto crowd = [&](int n) {
    for (int i = 0; i < n; ++i) {
      idle.push_back(Wire::to(program.port()));
      if (i % 2 == 0) idle.back().write(kHealth);  // and nothing more
    }
    while (idle.size() > 400) idle.pop_front();
  };
  crowd(200);
  int n = 0;
  const auto ask = [&] {
    Wire client = Wire::to(program.port());
    client.write(look("r" + std::to_string(++n)).text());
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 200) << n;
    idle.push_back(std::move(client));
    return body_of(answer);
  };
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(ask(), "one");
    crowd(10);
    EXPECT_NE(program.call("STATS").find(R"("hosts_listed":1,)"), std::string::npos);
    EXPECT_LE(descriptors_of(program).size(), kMost);
  }
  FakeDiscovery discovery(port);
  ASSERT_TRUE(discovery.say(
      list(8, true, member("s0", one.address(), "draining") + "," + member("s1", two.address()))));
  EXPECT_TRUE(eventually([&] {
    crowd(10);
    return ask() == "two";
  }));
  gate.open();
  EXPECT_EQ(body_of(held.read_message()), "one");
}

// Guards against a connection that is closed for others while its next request is there, unread.
TEST(Door, ARequestThatCrossesItsEvictionIsAnswered) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.sockets = 64;  // 20 connections of callers, and 5 to be turned away
  Deployment d({&server}, config);
  std::vector<Wire> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(d.client());
    callers.back().write(kHealth);
    ASSERT_EQ(status_of(callers.back().read_message()), 200);
  }
  d.program->stop();
  for (int i = 0; i < 20; ++i) callers.push_back(d.client());
  for (std::size_t i = 0; i < callers.size(); ++i) callers[i].write(look("r" + std::to_string(i)).text());
  d.program->go_on();
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const int status = status_of(callers[i].read_message());
    EXPECT_TRUE(status == 200 || status == 503) << i << ": " << status;
  }
}

}  // namespace
}  // namespace nettleyoke::node
