// A client that closes its connection, by FIN or by RST, has gone: from then on nothing is sent on for it,
// whatever its request waits for. Each state is brought about by the peers' own acts. Where two of them have
// to reach the node in one turn of its event loop it is stopped meanwhile.
#include <netinet/tcp.h>

#include <tuple>

#include "single_server_deployment.h"

namespace nettleyoke::node {
namespace {

struct Scene {
  explicit Scene(bool reset) : by_reset(reset) {}
  void leave() { by_reset ? client.reset() : client.close(); }
  void served_once() {
    client.write(look("before").text());
    server = Wire(node.server.accept());
    EXPECT_EQ(field_of(server.read_message(), "X-Request-ID"), "before");
    server.write(http_answer(200, "ok"));
    EXPECT_EQ(body_of(client.read_message()), "ok");
  }
  // Nothing of the node runs, and its connection to the server has rested.
  void stop() const {
    node.program->stop();
    std::this_thread::sleep_for(10ms);
  }
  // The client leaves once the server has had nearly all that came of its request. What came in all.
  std::string all_that_comes(std::size_t nearly) {
    std::string all;
    while (all.size() < nearly) {
      const std::string piece = server.read_some();
      if (piece.empty()) break;
      all += piece;
    }
    EXPECT_GE(all.size(), nearly);
    leave();
    all += server.read_rest();
    server.close();
    return all;
  }

  bool by_reset;
  OneServer node;
  Wire client = node.client();
  Wire server{Fd()};  // the connection that may carry the next request
};

struct State {
  const char* name;
  void (*force)(Scene&);
};
void PrintTo(const State& state, std::ostream* out) { *out << state.name; }

// Guards against what a client wrote before it left and is read before its end, however long ago that was.
void in_the_listeners_queue(Scene& s) {
  s.served_once();
  s.stop();
  s.client = s.node.client();
  s.client.write(Ask{.id = "gone"}.text());
  s.leave();
  s.node.program->go_on();
}

void in_the_turn_of_its_request(Scene& s) {
  s.served_once();
  s.stop();
  s.client.write(Ask{.id = "gone"}.text());
  s.leave();
  s.node.program->go_on();
}

void in_the_turn_of_its_bodys_end(Scene& s) {
  s.served_once();
  const std::string text = Ask{.id = "gone", .body = std::string(4 * kKilo, 'b')}.text();
  s.client.write(text.substr(0, text.size() / 2));
  s.stop();
  s.client.write(text.substr(text.size() / 2));
  s.leave();
  s.node.program->go_on();
}

void just_after_the_dial_is_up(Scene& s) {
  s.node.server.fill();
  s.client.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return s.node.server.dials() == 1; }));
  s.node.program->stop();
  s.server = Wire(s.node.server.accept());
  s.leave();
  s.node.program->go_on();
}

void while_the_connection_rests(Scene& s) {
  s.served_once();
  Wire first = s.node.client();
  first.write(look("first").text());
  ASSERT_EQ(field_of(s.server.read_message(), "X-Request-ID"), "first");
  s.node.program->stop();
  s.server.write(http_answer(200, "ok"));
  s.client.write(Ask{.id = "gone"}.text());
  s.leave();
  s.node.program->go_on();
  EXPECT_EQ(body_of(first.read_message()), "ok");
}

void while_a_further_attempts_dial_hangs(Scene& s) {
  s.client.write(Ask{.id = "gone"}.text());
  Wire first(s.node.server.accept());
  ASSERT_EQ(field_of(first.read_message(), "X-Request-ID"), "gone");
  s.node.server.fill();
  first.write(http_answer(503, "", "X-Not-Processed: 1\r\nConnection: close\r\n"));
  ASSERT_TRUE(eventually([&] { return s.node.server.dials() == 1; }));
  s.leave();
  EXPECT_TRUE(s.node.is_idle());
  s.server = Wire(s.node.server.accept());
}

// The server has read all of a streamed body that has come, and waits for the rest.
void with_the_rest_of_its_body_to_come(Scene& s) {
  const std::string text = Ask{.id = "gone", .body = std::string(2 * kMega, 'b')}.text();
  const std::size_t part = kMega + 64 * kKilo;
  s.client.write(text.substr(0, part));
  s.server = Wire(s.node.server.accept());
  EXPECT_LT(s.all_that_comes(part - 16 * kKilo).size(), text.size() - kKilo);
}

void with_the_rest_of_its_chunks_to_come(Scene& s) {
  const std::string piece = chunk(std::string(64 * kKilo, 'b'));
  std::string text = Ask{.id = "gone", .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text();
  for (std::size_t i = 0; i < 20; ++i) text += piece;
  s.client.write(text);
  s.server = Wire(s.node.server.accept());
  EXPECT_FALSE(s.all_that_comes(19 * 64 * kKilo).ends_with("\r\n0\r\n\r\n"));
}

// Guards against the last bytes of a streamed body that are passed on for one that has left behind them.
void in_the_turn_of_a_streamed_bodys_end(Scene& s) {
  const std::string text = Ask{.id = "gone", .body = std::string(kMega + 64 * kKilo, 'b')}.text();
  const std::size_t last = 2 * kKilo;
  s.client.write(text.substr(0, text.size() - last));
  s.server = Wire(s.node.server.accept());
  std::size_t came = 0;
  while (came < text.size() - last - kKilo) came += s.server.read_some().size();
  s.node.program->stop();
  s.client.write(text.substr(text.size() - last));
  s.leave();
  s.node.program->go_on();
  while (s.server.more()) came += s.server.read_some().size();
  EXPECT_LT(came, text.size() - last + kKilo) << "the last byte never comes";
  s.server.close();
}

// Guards against a turn that is begun for a client whose end came while the answer before was being written:
// it takes in a little at a time, so that this can't be done at once.
void while_the_answer_before_is_written(Scene& s) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int little = 4096, segment = 536;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  const sockaddr_in where = loopback(s.node.program->port());
  ASSERT_EQ(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where), 0);
  s.client = Wire(std::move(fd));
  s.client.write(look("before").text() + look("gone").text());
  s.server = Wire(s.node.server.accept());
  ASSERT_EQ(field_of(s.server.read_message(), "X-Request-ID"), "before");
  const std::string body(60 * kKilo, 'b');
  s.server.write(http_answer(200, body));
  pollfd begun{s.client.fd(), POLLIN, 0};
  ASSERT_EQ(::poll(&begun, 1, static_cast<int>(std::chrono::milliseconds(kPatience).count())), 1);
  if (s.by_reset) return s.leave();
  ::shutdown(s.client.fd(), SHUT_WR);
  EXPECT_EQ(body_of(s.client.read_message()), body);
  EXPECT_EQ(s.client.read_rest(), "") << "and no further turn";
}

void in_the_pause_after_an_error(Scene& s) {
  s.served_once();
  s.stop();
  s.client.write(Ask{.kind = "dance", .body = ""}.text() + look("gone").text());
  s.leave();
  s.node.program->go_on();
}

class Gone : public testing::TestWithParam<std::tuple<State, bool>> {};
INSTANTIATE_TEST_SUITE_P(
    States, Gone,
    testing::Combine(
        testing::Values(State{"InTheListenersQueue", in_the_listeners_queue},
                        State{"InTheTurnOfItsRequest", in_the_turn_of_its_request},
                        State{"InTheTurnOfItsBodysEnd", in_the_turn_of_its_bodys_end},
                        State{"JustAfterTheDialIsUp", just_after_the_dial_is_up},
                        State{"WhileTheConnectionRests", while_the_connection_rests},
                        State{"WhileAFurtherAttemptsDialHangs", while_a_further_attempts_dial_hangs},
                        State{"WithTheRestOfItsBodyToCome", with_the_rest_of_its_body_to_come},
                        State{"WithTheRestOfItsChunksToCome", with_the_rest_of_its_chunks_to_come},
                        State{"InTheTurnOfAStreamedBodysEnd", in_the_turn_of_a_streamed_bodys_end},
                        State{"WhileTheAnswerBeforeIsWritten", while_the_answer_before_is_written},
                        State{"InThePauseAfterAnError", in_the_pause_after_an_error}),
        testing::Bool()),
    [](const auto& with) {
      return std::string(std::get<0>(with.param).name) + (std::get<1>(with.param) ? "ByReset" : "ByEnd");
    });

TEST_P(Gone, NothingMoreIsSentOn) {
  Scene scene(std::get<1>(GetParam()));
  std::get<0>(GetParam()).force(scene);
  if (HasFatalFailure()) return;
  Wire stays = scene.node.client();
  stays.write(look("stays").text());
  if (!scene.server.is_open()) scene.server = Wire(scene.node.server.accept());
  EXPECT_EQ(field_of(scene.server.read_message(), "X-Request-ID"), "stays");
  scene.server.write(http_answer(200, "ok"));
  EXPECT_EQ(body_of(stays.read_message()), "ok");
  EXPECT_TRUE(scene.node.is_idle());
  while (scene.node.server.has_waiting()) {  // dials that were out
    const Wire spare(scene.node.server.accept());
    char byte = 0;
    EXPECT_LE(::recv(spare.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), 0) << "sent on there";
  }
}

// A thousand connections, some of them with a request that is out and more behind it than is read ahead, all
// left in one instant in which the answers come too.
class GoneUnderLoad : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(By, GoneUnderLoad, testing::Bool(),
                         [](const auto& with) { return std::string(with.param ? "Reset" : "End"); });

TEST_P(GoneUnderLoad, NothingMoreIsSentOn) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t idle = limit.rlim_max >= 1200 ? 1000 : 300, busy = 6;
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  ConfigText config;
  config.sockets = 4096;
  config.ops = "127.0.0.1:0";
  config.bounds = R"("cancel":false,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0,"maxOpen":4096)";
  Deployment d({&server}, config);
  std::vector<Wire> clients;
  for (std::size_t i = 0; i < idle; ++i) {
    clients.push_back(d.client());
    clients.back().write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_EQ(status_of(clients.back().read_message()), 200);
  }
  for (std::size_t i = 0; i < busy; ++i) {
    clients.push_back(d.client());
    std::string text = look("first" + std::to_string(i)).text();
    while (text.size() < 40 * kKilo) text += look("behind").text();
    clients.back().write(text);
  }
  ASSERT_TRUE(eventually([&] { return server.requests().size() == busy; }));
  d.program->stop();
  for (Wire& client : clients) GetParam() ? client.reset() : client.close();
  gate.open();
  d.program->go_on();
  EXPECT_TRUE(
      eventually([&] { return d.program->call("STATS").find(R"("inflight":0,)") != std::string::npos; }));
  Wire stays = d.client();
  stays.write(look("stays").text());
  EXPECT_EQ(body_of(stays.read_message()), "ok");
  EXPECT_EQ(server.requests().size(), busy + 1);
}

}  // namespace
}  // namespace nettleyoke::node
