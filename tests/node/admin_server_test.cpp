// The operators' line, the figures, servers taken out by hand and a second process beside the first.
#include <filesystem>

#include "node_harness.h"
#include "rapidjson/document.h"

namespace nettleyoke::node {
namespace {

ConfigText with_operators() {
  ConfigText config;
  config.ops = "127.0.0.1:0";
  return config;
}

rapidjson::Document figures(const Program& program) {
  const std::string text = program.call("STATS");
  EXPECT_TRUE(text.size() > 5 && text.substr(text.size() - 5) == "\nEND\n") << text;
  rapidjson::Document out;
  out.Parse(text.substr(0, text.find('\n')).c_str());
  EXPECT_TRUE(out.IsObject()) << text;
  return out;
}

int figure(const Program& program, const char* name) {
  const rapidjson::Document all = figures(program);
  return all.IsObject() ? all[name].GetInt() : -1;
}
int ends(const Program& program, const char* how, const char* request_class) {
  const rapidjson::Document all = figures(program);
  return all.IsObject() ? all[how][request_class].GetInt() : -1;
}

std::string asked(const Deployment& d, const std::string& id, const std::string& kind = "close") {
  Wire client = d.client();
  client.write(Ask{.kind = kind, .id = id}.text());
  return client.read_message();
}

// ---------------------------------------------------------------- the line

TEST(AdminServer, ReadyIsSaidOnceDiscoveryHasToldAndThereIsAServer) {
  FakeServer server(replies(200, "ok"));
  ConfigText config = with_operators();
  FakeDiscovery discovery;
  config.discovery = discovery.address();
  const Program program(config.text());
  EXPECT_EQ(program.call("READY").substr(0, 3), "NO ");
  ASSERT_TRUE(discovery.say(list(1, true, member("s0", server.address()))));
  EXPECT_TRUE(eventually([&] { return program.call("READY") == "YES\n"; }));
}

// Guards against a new process that waits for ever where discovery is silent but a list is known.
TEST(AdminServer, WhereDiscoveryIsSilentTheKnownListWillDo) {
  FakeServer server(replies(200, "ok"));
  const Deployment d({&server}, with_operators());
  EXPECT_TRUE(eventually([&] { return d.program->call("READY") == "YES\n"; }));
}

TEST(AdminServer, WhatIsNoCallIsToldSo) {
  FakeServer server(replies(200, "ok"));
  const Deployment d({&server}, with_operators());
  for (const std::string& line :
       {std::string("HELLO"), std::string(""), std::string("DISABLE"), std::string("DISABLE "),
        std::string("ENABLE a b"), std::string("READY now"), std::string("DISABLE nobody"),
        std::string("ENABLE nobody"), std::string("ready"), std::string("\x00\xff\x01", 3),
        std::string(5000, 'x')}) {
    EXPECT_EQ(d.program->call(line).substr(0, 3), "NO ") << line.substr(0, 20);
  }
  EXPECT_EQ(d.program->call("DISABLE s0\r"), "YES\n") << "a line may end as on other systems";
  EXPECT_EQ(asked(d, "after").substr(9, 3), "503");
}

TEST(AdminServer, HalfACallIsToldSoAndSilenceIsClosedOn) {
  FakeServer server(replies(200, "ok"));
  const Deployment d({&server}, with_operators());
  const int port = d.program->operators_port();
  Wire half = Wire::to(port), silent = Wire::to(port), left = Wire::to(port);
  half.write("STA");
  left.write("DISABLE s0");
  ::shutdown(left.fd(), SHUT_WR);
  EXPECT_EQ(left.read_rest().substr(0, 3), "NO ") << "a line that was cut off is no call";
  EXPECT_EQ(half.read_rest().substr(0, 3), "NO ");
  EXPECT_EQ(silent.read_rest(), "");
  EXPECT_EQ(asked(d, "after").substr(9, 3), "200");
}

// Guards against operators who can't get through to a node whose descriptors are all in use, here by callers,
// there by others on the line that say nothing.
TEST(AdminServer, CallsGetThroughWhateverElseIsOpen) {
  FakeServer server(replies(200, "ok"));
  ConfigText config = with_operators();
  config.sockets = 128;
  const Deployment d({&server}, config, 128);
  std::vector<Wire> open;
  for (int i = 0; i < 200; ++i) open.push_back(d.client());
  for (int i = 0; i < 100; ++i) open.push_back(Wire::to(d.program->operators_port()));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(figure(*d.program, "hosts_listed"), 1);
    EXPECT_EQ(d.program->call("ENABLE s0"), "YES\n");
  }
}

TEST(AdminServer, TheEnvironmentsAddressComesFirst) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.ops = "127.0.0.1:1";  // can't be listened on without rights; the process would not start
  config.known = list(7, true, member("s0", server.address()));
  const Program program(config.text(), 0, true, {{"RELAY_OPS", "127.0.0.1:0"}});
  EXPECT_EQ(program.call("ENABLE s0"), "YES\n");
}

TEST(AdminServer, AnAddressThatIsNoneEndsTheStart) {
  ConfigText config;
  config.ops = "nowhere";
  Program program(config.text(), 0, false);
  EXPECT_EQ(program.exit_status(), 2);
  EXPECT_EQ(program.logged("'ops'"), 1) << program.log();
}

// ---------------------------------------------------------------- the figures

TEST(Figures, EachEndIsCountedOnce) {
  std::atomic<int> status = 200;
  FakeServer server([&](Wire& wire, const std::string&) {
    return wire.write(http_answer(status, "x", status == 503 ? "X-Not-Processed: 1\r\n" : ""));
  });
  Deployment d({&server}, with_operators());
  Wire client = d.client();
  const auto ask = [&](const std::string& id, const std::string& kind, const std::string& method) {
    client.write(Ask{.kind = kind, .id = id, .method = method, .body = method == "GET" ? "" : "{}"}.text());
    return status_of(client.read_message());
  };
  EXPECT_EQ(ask("a1", "close", "POST"), 200);
  EXPECT_EQ(ask("a2", "close", "POST"), 200);
  EXPECT_EQ(ask("a3", "look", "GET"), 200);
  EXPECT_EQ(figure(*d.program, "backend_calls"), 3);
  status = 500;
  EXPECT_EQ(ask("b1", "close", "POST"), 502);  // unsafe, and it may have run: failed after one attempt
  EXPECT_EQ(figure(*d.program, "backend_calls"), 4);
  status = 503;
  EXPECT_EQ(ask("c1", "close", "POST"), 503);
  const int attempts = static_cast<int>(server.requests().size());
  client.write(Ask{.kind = "dance"}.text());  // no class of ours: it counts for nothing
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "inflight") == 0; }));
  const rapidjson::Document all = figures(*d.program);
  EXPECT_EQ(all["success"]["close"].GetInt(), 2);
  EXPECT_EQ(all["success"]["look"].GetInt(), 1);
  EXPECT_EQ(all["success"]["mark"].GetInt(), 0) << "each class shows, whether it is used or not";
  EXPECT_EQ(all["failure"]["close"].GetInt(), 1);
  EXPECT_EQ(all["busy"]["close"].GetInt(), 1);
  EXPECT_EQ(all["busy"]["look"].GetInt(), 0);
  EXPECT_EQ(all["backend_calls"].GetInt(), attempts);
  EXPECT_EQ(all["hosts_listed"].GetInt(), 1);
  EXPECT_EQ(all["reconfig_ok"].GetInt(), 0);
  EXPECT_EQ(all["reconfig_failed"].GetInt(), 0);
}

TEST(Figures, InFlightIsWhatHasNoAnswerYetAndAClientThatGoesEndsIt) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "x"));
  });
  Deployment d({&server}, with_operators());
  std::vector<Wire> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(d.client());
    clients.back().write(Ask{.id = "r" + std::to_string(i)}.text());
  }
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "inflight") == 3; }));
  clients[0].close();
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "inflight") == 2; }));
  gate.open();
  for (int i = 1; i < 3; ++i) EXPECT_EQ(status_of(clients[static_cast<std::size_t>(i)].read_message()), 200);
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "inflight") == 0; }));
  EXPECT_EQ(ends(*d.program, "success", "close"), 2);
}

TEST(Figures, ReloadsAreCountedByHowTheyEnded) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, with_operators());
  d.program->reload("{}");
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "reconfig_failed") == 1; }));
  d.program->reload(d.told.text());
  EXPECT_TRUE(eventually([&] { return figure(*d.program, "reconfig_ok") == 1; }));
}

// ---------------------------------------------------------------- servers taken out

TEST(Disabled, AServerThatIsOutGetsNothingUntilItIsBack) {
  FakeServer one(replies(200, "one")), two(replies(200, "two"));
  Deployment d({&one, &two}, with_operators());
  EXPECT_EQ(d.program->call("DISABLE s0"), "YES\n");
  EXPECT_EQ(d.program->call("DISABLE s0"), "YES\n");
  const auto before = one.requests().size();
  d.discovery.say(list(8, true, member("s0", one.address()) + "," + member("s1", two.address())));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(body_of(asked(d, "out" + std::to_string(i))), "two");
  EXPECT_EQ(one.requests().size(), before);
  EXPECT_EQ(figure(*d.program, "hosts_listed"), 2);
  EXPECT_EQ(figure(*d.program, "hosts_down"), 1);
  EXPECT_EQ(d.program->call("DISABLE s1"), "YES\n");
  const std::string refused = asked(d, "none");
  EXPECT_EQ(status_of(refused), 503);
  EXPECT_NE(field_of(refused, "Retry-After"), "");
  EXPECT_EQ(d.program->call("ENABLE s0"), "YES\n");
  EXPECT_EQ(figure(*d.program, "hosts_down"), 1);
  EXPECT_EQ(body_of(asked(d, "back")), "one");
}

// Guards against idle connections to a server that is restarted while it is out.
TEST(Disabled, IdleConnectionsAreClosed) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, with_operators());
  EXPECT_EQ(body_of(asked(d, "r1")), "ok");
  EXPECT_EQ(d.program->call("DISABLE s0"), "YES\n");
  EXPECT_TRUE(eventually([&] { return server.ended() == 1; }));
}

// ---------------------------------------------------------------- a second process

// The clients' listening socket, held by the test as the platform holds it.
struct Platform {
  Platform() : listen(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    static std::atomic<int> count = 0;
    directory = testing::TempDir() + "/shared_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::filesystem::create_directory(directory);
    sockaddr_in where = loopback(0);
    EXPECT_EQ(::bind(listen.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen.get(), 128), 0);
  }
  ~Platform() { std::filesystem::remove_all(directory); }
  Program::Environment environment() const {
    return {{"TMPDIR", directory}, {"RELAY_LISTEN_FD", std::to_string(Program::kInherited)}};
  }
  std::string bans() const { return directory + "/thymewood-disabled.json"; }
  Fd listen;
  std::string directory;
};

TEST(Upgrade, ASecondProcessTakesOverAndNothingIsLost) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string& request) {
    if (request.find("slow") != std::string::npos) gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  const Platform platform;
  Deployment old({&server}, with_operators(), 0, platform.environment(), platform.listen.get());
  Wire busy = old.client(), idle = old.client();
  busy.write(Ask{.id = "slow"}.text());
  idle.write(Ask{.id = "first"}.text());
  EXPECT_EQ(status_of(idle.read_message()), 200);
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 2; }));

  Program next(old.told.text(), 0, true, platform.environment(), platform.listen.get());
  EXPECT_EQ(next.port(), old.program->port());
  EXPECT_TRUE(eventually([&] { return next.call("READY") == "YES\n"; }));
  old.program->signal(SIGTERM);
  EXPECT_TRUE(eventually([&] { return old.program->call("READY").substr(0, 3) == "NO "; }));
  // An open connection is served once more and let go with the answer; new ones come to the next process.
  idle.write(Ask{.id = "second"}.text());
  const std::string last = idle.read_message();
  EXPECT_EQ(status_of(last), 200);
  EXPECT_EQ(field_of(last, "Connection"), "close");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(status_of(asked(old, "new" + std::to_string(i))), 200);
  EXPECT_GE(ends(next, "success", "close"), 20);
  gate.open();
  EXPECT_EQ(status_of(busy.read_message()), 200);
  EXPECT_EQ(old.program->exit_status(), 0);
  EXPECT_EQ(status_of(asked(old, "after")), 200) << "the socket outlives the old process";
}

TEST(Upgrade, BansHoldInBothProcessesAndOutliveTheOldOne) {
  FakeServer one(replies(200, "one")), two(replies(200, "two"));
  const Platform platform;
  Deployment old({&one, &two}, with_operators(), 0, platform.environment(), platform.listen.get());
  EXPECT_EQ(old.program->call("DISABLE s0"), "YES\n");
  const Program next(old.told.text(), 0, true, platform.environment(), platform.listen.get());
  EXPECT_EQ(figure(next, "hosts_down"), 1) << "from the start";
  EXPECT_EQ(next.call("DISABLE s1"), "YES\n");
  EXPECT_TRUE(eventually([&] { return figure(*old.program, "hosts_down") == 2; }));
  EXPECT_EQ(old.program->call("ENABLE s0"), "YES\n");
  EXPECT_TRUE(eventually([&] { return figure(next, "hosts_down") == 1; }));
  old.program->signal(SIGTERM);
  EXPECT_EQ(old.program->exit_status(), 0);
  EXPECT_EQ(body_of(asked(old, "left")), "one");
}

TEST(Upgrade, SpoiltStateIsLeftAside) {
  FakeServer server(replies(200, "ok"));
  const Platform platform;
  for (const char* text : {"", "{", "[1]", R"({"disabled":[7]})", R"({"disabled":"s0"})"}) {
    std::ofstream(platform.bans()) << text;
    Deployment d({&server}, with_operators(), 0, platform.environment(), platform.listen.get());
    EXPECT_EQ(d.program->logged("left aside"), 1) << text;
    EXPECT_EQ(status_of(asked(d, "r")), 200);
    EXPECT_EQ(d.program->call("DISABLE s0"), "YES\n");
  }
}

TEST(Upgrade, WhereNothingCanBeKeptABanHoldsInTheProcess) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, with_operators(), 0, {{"TMPDIR", "/nowhere/at/all"}});
  EXPECT_EQ(d.program->call("DISABLE s0"), "YES\n");
  EXPECT_EQ(status_of(asked(d, "r")), 503);
  EXPECT_EQ(d.program->logged("cannot write"), 1);
}

TEST(Upgrade, ADescriptorThatIsNoListenerEndsTheStart) {
  const Fd plain(::open("/dev/null", O_RDONLY));
  for (const char* text : {"7", "x", "-1", "1000000"}) {
    Program program(ConfigText{}.text(), 0, false, {{"RELAY_LISTEN_FD", text}}, plain.get());
    EXPECT_EQ(program.exit_status(), 2);
    EXPECT_EQ(program.logged("RELAY_LISTEN_FD"), 1) << program.log();
  }
}

}  // namespace
}  // namespace nettleyoke::node
