// What is still owed at the instant at which something ends: docs/crossings.md has the list. Each crossing is
// forced by the order of the peers' own acts. Where two of them have to reach the node in one turn of its
// event loop it is stopped meanwhile: it then finds both, in the order in which they were done.
#include "single_server_deployment.h"

namespace nettleyoke::node {
namespace {

// What a client has sent and left behind, by FIN or by RST, is not sent on and not tried again.
class Left : public testing::TestWithParam<bool> {
 protected:
  static void leave(Wire& client) { GetParam() ? client.reset() : client.close(); }
  // The next request that the server sees is one whose client is there.
  static void expect_next(OneServer& node, Wire& server) {
    Wire stays = node.client();
    stays.write(look("stays").text());
    EXPECT_EQ(field_of(server.read_message(), "X-Request-ID"), "stays");
    server.write(http_answer(200, "ok"));
    EXPECT_EQ(body_of(stays.read_message()), "ok");
    EXPECT_TRUE(node.is_idle());
  }
};
INSTANTIATE_TEST_SUITE_P(By, Left, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Reset" : "End"); });

TEST_P(Left, WhileADialHangs) {
  OneServer node;
  node.server.fill();
  Wire client = node.client();
  client.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return node.server.dials() == 1; }));
  leave(client);
  EXPECT_TRUE(node.has_noticed("gone"));
  Wire server(node.server.accept());
  expect_next(node, server);
}

// Guards against the end of an attempt that is told a turn of the loop later than it is asked for: a
// connection that comes up between the two would carry it.
TEST_P(Left, JustBeforeTheDialComesUp) {
  OneServer node(true);
  node.server.fill();
  Wire client = node.client();
  client.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return node.server.dials() == 1; }));
  node.program->stop();
  leave(client);
  Wire server(node.server.accept());
  node.program->go_on();
  EXPECT_TRUE(node.has_noticed("gone"));
  expect_next(node, server);
}

TEST_P(Left, WhileTheConnectionRests) {
  OneServer node;
  Wire first = node.client(), client = node.client();
  first.write(look("first").text());
  Wire server(node.server.accept());
  ASSERT_EQ(field_of(server.read_message(), "X-Request-ID"), "first");
  node.program->stop();
  server.write(http_answer(200, "ok"));
  client.write(Ask{.id = "gone"}.text());
  leave(client);
  node.program->go_on();
  EXPECT_EQ(body_of(first.read_message()), "ok");
  EXPECT_TRUE(GetParam() || node.has_noticed("gone")) << "a reset may come before the request is read";
  expect_next(node, server);
}

TEST_P(Left, JustBeforeItWouldBeTriedAgain) {
  OneServer node;
  Wire client = node.client();
  client.write(look("gone").text());
  Wire server(node.server.accept());
  ASSERT_EQ(field_of(server.read_message(), "X-Request-ID"), "gone");
  node.program->stop();
  leave(client);
  server.write(http_answer(503, "", "X-Not-Processed: 1\r\n"));
  node.program->go_on();
  EXPECT_TRUE(node.has_noticed("gone"));
  expect_next(node, server);
}

TEST_P(Left, WithABodyHalfSent) {
  OneServer node;
  Wire client = node.client();
  const std::string body(300 * kKilo, 'b');
  client.write(Ask{.id = "gone", .body = body}.text().substr(0, body.size() / 2));
  leave(client);
  Wire other = node.client();
  other.write(look("first").text());
  Wire server(node.server.accept());
  EXPECT_EQ(field_of(server.read_message(), "X-Request-ID"), "first");
  server.write(http_answer(200, "ok"));
  EXPECT_EQ(body_of(other.read_message()), "ok");
  expect_next(node, server);
}

// Guards against a client that is not looked for while nothing more of its body can be taken in: the pipe is
// full, and what is behind it is with the node's machine. An end behind bytes that are still the client's
// can't be known.
TEST_P(Left, WithABodyHalfSentWhileADialHangs) {
  OneServer node;
  node.server.fill();
  Wire client = node.client();
  client.write(Ask{.id = "gone", .body = std::string(4 * kMega, 'b')}.text().substr(0, kMega + 40 * kKilo));
  ASSERT_TRUE(eventually([&] { return node.server.dials() == 1 && client.unacknowledged() == 0; }));
  leave(client);
  EXPECT_TRUE(node.has_noticed("gone"));
  Wire server(node.server.accept());
  expect_next(node, server);
}

TEST_P(Left, WithAWriteHalfOut) {
  OneServer node;
  Wire client = node.client();
  const std::size_t length = 48 * kMega;
  const std::string text = Ask{.id = "gone", .body = std::string(length, 'b')}.text();
  client.write_what_goes(text);
  Wire server(node.server.accept());
  leave(client);
  // An end stands behind what the node has no room for; a reset is known at once.
  EXPECT_TRUE(!GetParam() || node.has_noticed("gone"));
  EXPECT_LT(server.read_rest().size(), length) << "its last byte never comes";
  EXPECT_TRUE(node.has_noticed("gone"));
  EXPECT_TRUE(node.is_idle());
}

TEST_P(Left, WithMoreBehindThanIsReadAhead) {
  OneServer node;
  Wire client = node.client();
  std::string behind;
  for (int i = 0; i < 400; ++i) behind += look("behind" + std::to_string(i)).text();
  client.write(look("gone").text() + behind);
  Wire server(node.server.accept());
  ASSERT_EQ(field_of(server.read_message(), "X-Request-ID"), "gone");
  leave(client);
  EXPECT_TRUE(node.is_idle());
  server.write(http_answer(200, "late"));
  EXPECT_TRUE(node.has_noticed("gone"));
  expect_next(node, server);
}

// Guards against a connection that is not read from again once its turn has come out of what was read ahead.
TEST_P(Left, InATurnThatCameFromWhatWasReadAhead) {
  OneServer node;
  Wire client = node.client();
  const std::string fill = "X-Fill: " + std::string(7 * kKilo, 'x') + "\r\n";
  std::string text;
  for (const char* id : {"first", "gone", "behind1", "behind2"}) {
    Ask ask = look(id);
    ask.fields = fill;
    text += ask.text();
  }
  client.write(text);
  Wire server(node.server.accept());
  ASSERT_EQ(field_of(server.read_message(), "X-Request-ID"), "first");
  server.write(http_answer(200, "ok"));
  EXPECT_EQ(body_of(client.read_message()), "ok");
  ASSERT_EQ(field_of(server.read_message(), "X-Request-ID"), "gone");
  leave(client);
  EXPECT_TRUE(node.is_idle());
  server.write(http_answer(200, "late"));
  EXPECT_TRUE(node.has_noticed("gone"));
  expect_next(node, server);
}

// ---------------------------------------------------------------- dials

// Guards against an end that is told of another attempt than the one that ended, where several wait for
// connections to one server and their dials fail: one would be left without an answer, and one be out twice.
TEST(Dials, ThatFailForSeveralEndEachItsOwn) {
  FullListener full;
  FakeServer other(replies(200, "ok"));
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", full.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":3.0,"idleClose":60.0)";
  Program program(config.text());
  full.fill();
  std::vector<Wire> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(Wire::to(program.port()));
    clients.back().write(look("r" + std::to_string(i)).text());
  }
  ASSERT_TRUE(eventually([&] { return full.dials() == 3; }));
  ASSERT_TRUE(discovery.say(list(8, false, member("s1", other.address()))));
  for (Wire& client : clients) EXPECT_EQ(status_of(client.read_message()), 200);
  std::map<std::string, int> times;
  for (const std::string& request : other.requests()) times[field_of(request, "X-Request-ID")] += 1;
  EXPECT_EQ(times.size(), clients.size());
  for (const auto& [id, n] : times) EXPECT_EQ(n, 1) << id;
}

// Guards against a repeat that was decided on in time and goes out past the window in which it is dropped.
TEST(Repeats, OneThatWaitsPastItsWindowIsNotSent) {
  Gate gate;
  FakeServer failing([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(500, "it may have run"));
  });
  FullListener other;
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.ops = "127.0.0.1:0";
  config.known = list(7, true, member("s0", failing.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
  config.classes +=
      R"(,{"name":"pin","aim":15.0,"giveUp":15.0,"effect":"keyed","group":"all","dedupWindow":2.0,"lateWorth":0.5})";
  Program program(config.text());
  Wire client = Wire::to(program.port());
  client.write(Ask{.kind = "pin", .id = "pinned", .key = "k"}.text());
  ASSERT_TRUE(eventually([&] { return failing.requests().size() == 1; }));
  other.fill();
  ASSERT_TRUE(discovery.say(
      list(8, false, member("s0", failing.address(), "draining") + "," + member("s1", other.address()))));
  ASSERT_TRUE(
      eventually([&] { return program.call("STATS").find(R"("hosts_listed":2,)") != std::string::npos; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return other.dials() == 1; }));
  std::this_thread::sleep_for(2500ms);  // past the window
  Wire server(other.accept());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 503) << "every server drops repeats of it, so that to refuse it is harmless";
  EXPECT_EQ(server.read_rest(), "");
}

// ---------------------------------------------------------------- watches

const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Whether the node has come to know a server that answers so.
bool serves(const Program& program, int port, const std::string& body) {
  static std::atomic<int> n = 0;
  return program.logged("listening") > 0 && eventually([&] {
           Wire client = Wire::to(port);
           client.write(look("serves" + std::to_string(++n)).text());
           return body_of(client.read_message()) == body;
         });
}

// The object of list() as a deployment may write it: several lines, and strings that look like its frame.
std::string indented(int index, const std::string& name, const std::string& address) {
  return "{\n  \"index\": " + std::to_string(index) +
         ",\n  \"snapshot\": true,\r\n  \"note\": \"}]\\\"{\",\n" +
         "  \"endpoints\": [\n    {\n      \"name\": \"" + name + "\",\n      \"address\": \"" + address +
         "\",\n\t  \"zone\": \"a\",\n      \"status\": \"up\"\n    }\n  ]\n}\n";
}

TEST(Lists, MayComeIndentedSplitAndJoined) {
  FakeServer one(replies(200, "one")), two(replies(200, "two")), three(replies(200, "three"));
  Deployment d({&one});
  ASSERT_TRUE(d.discovery.say_raw(chunk(indented(8, "s1", two.address()) + "\n")));
  EXPECT_TRUE(serves(*d.program, d.program->port(), "two"));
  const std::string joined =
      indented(9, "s0", one.address()) + list(10, true, member("s2", three.address())) + "\n";
  std::string bytes;
  for (const char c : joined) bytes += chunk(std::string(1, c));
  ASSERT_TRUE(d.discovery.say_raw(bytes));
  EXPECT_TRUE(serves(*d.program, d.program->port(), "three"));
  EXPECT_EQ(d.discovery.calls().size(), 1U) << "the watch goes on";
}

// Guards against a list that was cut off and swallows those that come after it, while the watch looks alive.
TEST(Lists, OneThatWasCutOffDoesNotSwallowTheNext) {
  FakeServer one(replies(200, "one")), two(replies(200, "two"));
  for (const std::size_t cut : {std::size_t{12}, std::size_t{48}, std::size_t{75}}) {
    Deployment d({&one});
    const std::string next = list(9, true, member("s1", two.address())) + "\n";
    ASSERT_TRUE(d.discovery.say(list(8, true, member("s0", one.address()))));
    d.discovery.answer_with(kWatchHead + chunk(next));
    ASSERT_TRUE(d.discovery.say_raw(chunk(next.substr(0, cut) + "\n" + list(10, false, "") + "\n\n")));
    EXPECT_TRUE(serves(*d.program, d.program->port(), "two")) << cut;
    EXPECT_NE(d.discovery.calls().at(1).find("after=8 "), std::string::npos) << d.discovery.calls().at(1);
  }
}

// Guards against watches that bring empty lines alone and die, taken for failures: each would have the next
// one wait longer. Silences are left out here; each end is a close, so that the pauses alone make the time.
TEST(Watches, ThatBringEmptyLinesAloneAreNoFailures) {
  for (const char* mode : {"subscribe", "automatic"}) {
    FakeServer server(replies(200, "ok"));
    Listener discovery([](Wire& wire) {
      if (wire.read_message().empty()) return;
      wire.write(kWatchHead + chunk("\n") + "0\r\n\r\n");
    });
    ConfigText config;
    config.discovery = discovery.address();
    config.known = list(7, true, member("s0", server.address()));
    config.mode = mode;
    const auto start = std::chrono::steady_clock::now();
    Program program(config.text());
    ASSERT_TRUE(eventually([&] { return discovery.accepted() >= 12; })) << mode;
    // Pauses that are not drawn back to the first one would take over 30 s in sum.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 12s) << mode;
  }
}

// Guards against an agent that hangs and holds the watch for as long as one that is open may be silent: two
// such calls in a row would outlast the time until what is missed counts as told.
TEST(Watches, ACallThatIsNotAnsweredIsGivenUpSoonerThanAnOpenOne) {
  FakeServer server(replies(200, "ok")), told(replies(200, "told"));
  std::atomic<int> calls = 0;
  Listener discovery([&](Wire& wire) {
    if (wire.read_message().empty()) return;
    if (++calls > 3) wire.write(kWatchHead + chunk(list(9, true, member("s1", told.address())) + "\n"));
    wire.read_rest();
  });
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", server.address()));
  config.mode = "automatic";
  const auto start = std::chrono::steady_clock::now();
  Program program(config.text());
  EXPECT_TRUE(serves(program, program.port(), "told"));
  EXPECT_LT(std::chrono::steady_clock::now() - start, 8s) << "three silences of an open watch take 9 s";
}

// ---------------------------------------------------------------- drains

const std::string kShort = R"({"name":"close","aim":0.3,"giveUp":0.5,"effect":"unsafe","lateWorth":0.5})";

void reload_as(Deployment& d, const ConfigText& config) {
  const int before = d.program->logged("reload: ");
  d.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return d.program->logged("reload: ") == before + 1; })) << d.program->log();
}

// Guards against a drain that lasts by the deadlines of classes that have gone, while the kill comes by those
// that are in force: what clients send in between would be lost.
TEST(Drain, LastsByTheClassesInForce) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  ConfigText config = d.told;
  config.classes = kShort;
  reload_as(d, config);
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  EXPECT_EQ(client.read_rest(), "");
  EXPECT_LT(std::chrono::steady_clock::now() - start, 2s)
      << "2.8 s by the classes before, and the kill at 1.2";
  EXPECT_EQ(d.program->exit_status(), 0);
}

TEST(Drain, AnOpenRequestOfADroppedClassHasItsOwnTime) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  Deployment d({&server});
  Wire client = d.client(), idle = d.client();
  idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_EQ(status_of(idle.read_message()), 200);
  client.write(Ask{.kind = "look", .id = "open", .method = "GET", .body = ""}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  ConfigText config = d.told;
  config.classes = kShort;
  reload_as(d, config);
  d.program->signal(SIGTERM);
  EXPECT_EQ(idle.read_rest(), "") << "the drain is over for those that ask nothing";
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Guards against requests that were open at the start of a drain and are still so when the process is killed.
TEST(Drain, WhatWasOpenHasItsAnswerBeforeTheKill) {
  FakeServer server([](Wire&, const std::string&) { return true; });
  Deployment d({&server});
  Wire client = d.client(), half = d.client();
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGTERM);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client would have waited 15 s";
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Guards against the close of a listener whose queue holds what there was no room for: all of it is reset.
TEST(Drain, WhatWaitsToBeLetInIsAnswered) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  ConfigText config;
  config.sockets = 64;  // 20 connections of callers, and 5 to be turned away
  Deployment d({&server}, config);
  std::vector<Wire> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(d.client());
    clients.back().write(look("r" + std::to_string(i)).text());
  }
  ASSERT_TRUE(eventually([&] { return !server.requests().empty(); }));
  d.program->signal(SIGTERM);
  std::this_thread::sleep_for(1s);  // past the time in which new connections are let in
  gate.open();
  for (std::size_t i = 0; i < clients.size(); ++i) EXPECT_NE(status_of(clients[i].read_message()), 0) << i;
  EXPECT_EQ(d.program->exit_status(), 0);
}

// A connection that came up just before the listener closed, and whose first request is on its way.
TEST(Drain, ANewConnectionIsNotClosedBeforeItsFirstRequest) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.classes = kShort;  // the listener and the idle connections are closed in one turn of the loop
  Deployment d({&server}, config);
  d.program->signal(SIGTERM);
  std::vector<Wire> clients;
  for (Wire next = d.client(); next.is_open(); next = d.client()) {
    clients.push_back(std::move(next));
    if (clients.size() > 20) clients.erase(clients.begin());  // each is newer than the one before
    std::this_thread::sleep_for(5ms);
  }
  ASSERT_FALSE(clients.empty());
  clients.back().write(Ask{.timeout = "400"}.text());
  EXPECT_NE(status_of(clients.back().read_message()), 0);
  EXPECT_EQ(d.program->exit_status(), 0);
}

// ---------------------------------------------------------------- the door

TEST(Door, WhoMakesWayInTheMidstOfAskingIsTold) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.sockets = 64;  // 20 connections of callers
  Deployment d({&server}, config);
  std::vector<Wire> slow;
  for (int i = 0; i < 20; ++i) {
    slow.push_back(d.client());
    slow.back().write("GET /look/k1 HTTP/1.1\r\n");
  }
  // All of them have been read from once a later one, which one of them makes way for, is served.
  int n = 0;
  ASSERT_TRUE(eventually([&] {
    Wire late = d.client();
    late.write(look("late" + std::to_string(++n)).text());
    return status_of(late.read_message()) == 200;
  }));
  const std::string answer = slow.front().read_message();
  EXPECT_EQ(status_of(answer), 503);
  EXPECT_EQ(field_of(answer, "Connection"), "close");
}

}  // namespace
}  // namespace nettleyoke::node
