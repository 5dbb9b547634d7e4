// Drains: what crosses the end of a node, and the end of a server while a connection to it is on its way.
#include "single_server_deployment.h"

namespace nettleyoke::node {
namespace {

const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kShort = R"({"name":"close","aim":0.3,"giveUp":0.5,"effect":"unsafe","lateWorth":0.5})";

// ---------------------------------------------------------------- servers

class LateDial : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(ToOneThat, LateDial, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "IsDisabled" : "Drains"); });

// Guards against new work for a server that wants none, on a connection that was asked for before.
TEST_P(LateDial, CarriesNothing) {
  OneServer node;
  FakeServer other(replies(200, "other"));
  node.server.fill();
  Wire client = node.client();
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return node.server.dials() == 1; }));
  const std::string s0 = member("s0", node.server.address(), GetParam() ? "up" : "draining");
  ASSERT_TRUE(node.discovery.say(list(8, false, s0 + "," + member("s1", other.address()))));
  ASSERT_TRUE(eventually(
      [&] { return node.program->call("STATS").find(R"("hosts_listed":2,)") != std::string::npos; }));
  if (GetParam()) {
    EXPECT_EQ(node.program->call("DISABLE s0"), "YES\n");
  }
  Wire server(node.server.accept());
  EXPECT_EQ(body_of(client.read_message()), "other");
  EXPECT_EQ(server.read_rest(), "");
}

// ---------------------------------------------------------------- SIGTERM

class ComingBody : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(ThatIs, ComingBody, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Streamed" : "Held"); });

// Guards against a request whose time begins after SIGTERM, with its last byte, and outlasts the kill.
TEST_P(ComingBody, HasItsAnswerBeforeTheKill) {
  OneServer node;
  Wire client = node.client(), probe = node.client();
  const std::string text = Ask{.body = std::string(GetParam() ? 1200 * kKilo : 100 * kKilo, 'b')}.text();
  std::size_t at = text.size() - 32 * kKilo;
  client.write(text.substr(0, at));
  Wire server{Fd()};
  if (GetParam()) server = Wire(node.server.accept());
  const auto start = std::chrono::steady_clock::now();
  node.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] {
    client.write(text.substr(at++, 1));  // it may not pause
    probe.write(kHealth);
    return status_of(probe.read_message()) == 503;
  }));
  client.write(text.substr(at));
  if (!GetParam()) server = Wire(node.server.accept());
  for (std::size_t came = 0; came < text.size() - kKilo;) {
    const std::string piece = server.read_some();
    ASSERT_NE(piece, "");
    came += piece.size();
  }
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client would have waited 15 s";
  EXPECT_EQ(node.program->exit_status(), 0);
}

// Guards against turns that were read and are dropped with the connection, in the pause after an error: one
// that has more of them goes on until an answer says that the connection closes.
TEST(Drain, ATurnInThePauseAfterAnErrorIsAnswered) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.classes = kShort;
  Deployment d({&server}, config);
  std::string turns;
  for (int i = 0; i < 20; ++i)
    turns +=
        Ask{.kind = "dance", .body = ""}.text() + Ask{.id = "r" + std::to_string(i), .timeout = "500"}.text();
  std::vector<Wire> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(d.client());
    clients.back().write(turns);
    ASSERT_EQ(status_of(clients.back().read_message()), 400);
  }
  d.program->signal(SIGTERM);
  for (Wire& client : clients) {
    std::string last;
    for (std::string next = client.read_message(); !next.empty(); next = client.read_message()) last = next;
    EXPECT_EQ(field_of(last, "Connection"), "close") << last;
  }
  EXPECT_EQ(d.program->exit_status(), 0);
}

// A large answer on its way, of which the client has had a part.
struct Streaming {
  explicit Streaming(std::string head) {
    server = std::make_unique<FakeServer>([this, head = std::move(head)](Wire& wire, const std::string&) {
      wire.write(head + std::string(512 * kKilo, 'a'));
      gate.wait();
      return wire.write(std::string(512 * kKilo, 'b')) && false;
    });
    d = std::make_unique<Deployment>(std::vector<FakeServer*>{server.get()});
    client = d->client();
    client.write(Ask{}.text());
    while (got.size() < 256 * kKilo) {
      const std::string piece = client.read_some();
      if (piece.empty()) break;
      got += piece;
    }
  }
  Gate gate;
  std::unique_ptr<FakeServer> server;
  std::unique_ptr<Deployment> d;
  Wire client{Fd()};
  std::string got;
};

// And its connection does not stay for as long as others that are idle.
TEST(Drain, AStreamedAnswerGoesOn) {
  Streaming s("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kMega) + "\r\n\r\n");
  ConfigText config = s.d->told;
  config.classes = kShort;
  s.d->program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return s.d->program->logged("reload: ") == 1; }));
  Wire idle = s.d->client();
  idle.write(kHealth);
  ASSERT_EQ(status_of(idle.read_message()), 200);
  s.d->program->signal(SIGTERM);
  EXPECT_EQ(idle.read_rest(), "") << "the drain is over for those that ask nothing";
  const auto start = std::chrono::steady_clock::now();
  s.gate.open();
  s.got += s.client.read_rest();
  EXPECT_EQ(body_of(s.got).size(), kMega);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 7s) << "a connection that is idle may stay for 10 s";
  EXPECT_EQ(s.d->program->exit_status(), 0);
}

// Guards against an answer that the kill cuts off and that passes for a whole one.
TEST(Drain, AStreamedAnswerThatTheKillCutsIsNotWhole) {
  Streaming s("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  s.d->program->signal(SIGTERM);
  s.d->program->signal(SIGKILL);
  s.got += s.client.read_rest();
  EXPECT_NE(field_of(s.got, "Transfer-Encoding"), "") << s.got.substr(0, 200);
  EXPECT_EQ(s.got.find("\r\n0\r\n"), std::string::npos);
  EXPECT_EQ(s.d->program->exit_status(), -1);
  s.gate.open();
}

}  // namespace
}  // namespace nettleyoke::node
