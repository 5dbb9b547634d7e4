// Large bodies, both ways, and peers that are slow with them.
#include <optional>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

constexpr std::size_t kMega = std::size_t{1} << 20;

// Not the same anywhere: a piece that is lost, doubled or swapped shows.
std::string large(std::size_t size) {
  std::string out(size, '\0');
  std::uint32_t state = 1;
  for (char& c : out) {
    state = state * 1664525U + 1013904223U;
    c = static_cast<char>('a' + (state >> 24) % 26);
  }
  return out;
}

std::string chunked(const std::string& body, std::size_t piece, const std::string& extension = "") {
  std::ostringstream out;
  for (std::size_t at = 0; at < body.size(); at += piece) {
    const std::string part = body.substr(at, piece);
    out << std::hex << part.size() << extension << "\r\n" << part << "\r\n";
  }
  out << "0\r\n";
  return out.str();
}

// What a chunked body holds; nothing where it is not whole.
std::optional<std::string> dechunked(const std::string& raw) {
  std::string out;
  for (std::size_t at = 0;;) {
    const std::size_t end = raw.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    const std::size_t size = std::stoul(raw.substr(at, end - at), nullptr, 16);
    if (size == 0) return out;
    if (raw.size() < end + 2 + size + 2) return std::nullopt;
    out += raw.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
}

Ask get(const std::string& id) {
  return {.kind = "look", .id = id, .method = "GET", .body = "", .fields = "Connection: close\r\n"};
}

// ---------------------------------------------------------------- answers

TEST(LargeAnswers, FirstBytesComeWhileTheServerStillGives) {
  const std::string body = large(3 * kMega);
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body.substr(0, 1000));
    return gate.wait() && wire.write(body.substr(1000));
  });
  Deployment d({&server});
  Wire client = d.client();
  client.write(get("r").text());
  std::string got;
  ASSERT_TRUE(client.more()) << "while the server waits";
  gate.open();
  got = client.read_rest();
  EXPECT_EQ(status_of(got), 200);
  EXPECT_EQ(body_of(got), body);
}

TEST(LargeAnswers, AllFormsArriveUnchanged) {
  const std::string body = large(kMega + 7);
  std::mutex mutex;
  std::string next;
  FakeServer server([&](Wire& wire, const std::string&) {
    const std::lock_guard lock(mutex);
    return wire.write("HTTP/1.1 200 OK\r\n" + next) && next.find("Connection: close") == std::string::npos;
  });
  Deployment d({&server});
  int n = 0;
  for (const std::string& answer :
       {"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 70000) + "\r\n",
        "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 999, ";note=\"x\"") + "X-Trailer: t\r\n\r\n",
        "Connection: close\r\n\r\n" + body,
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}) {
    {
      const std::lock_guard lock(mutex);
      next = answer;
    }
    Wire client = d.client();
    client.write(get("r" + std::to_string(++n)).text());
    const std::string got = client.read_rest();
    EXPECT_EQ(status_of(got), 200);
    EXPECT_EQ(field_of(got, "Transfer-Encoding") == "chunked" ? dechunked(body_of(got)) : body_of(got), body)
        << n;
  }
  EXPECT_EQ(server.requests().size(), 4U) << "none was asked for twice";
}

TEST(LargeAnswers, TheConnectionServesTheNextRequest) {
  const std::string body = large(2 * kMega);
  FakeServer server(replies(200, body));
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), body);
  }
  EXPECT_EQ(server.listener().accepted(), 1);
}

// Guards against a second attempt, and against an end that passes for the whole.
TEST(LargeAnswers, OneThatBreaksOffIsNotWholeAndNotTriedAgain) {
  std::mutex mutex;
  std::string head;
  FakeServer server([&](Wire& wire, const std::string&) {
    const std::lock_guard lock(mutex);
    wire.write("HTTP/1.1 200 OK\r\n" + head + large(200000));
    return false;
  });
  Deployment d({&server});
  int n = 0;
  for (const std::string form :
       {"Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n", "\r\n"}) {
    {
      const std::lock_guard lock(mutex);
      head = form;
    }
    Wire client = d.client();
    client.write(get("r" + std::to_string(++n)).text());
    const std::string got = client.read_rest();
    EXPECT_EQ(status_of(got), 200);
    if (field_of(got, "Transfer-Encoding") == "chunked") {
      EXPECT_EQ(dechunked(body_of(got)), std::nullopt) << form;
    } else {
      EXPECT_LT(body_of(got).size(), std::stoul(field_of(got, "Content-Length"))) << form;
    }
  }
  EXPECT_EQ(server.requests().size(), 3U);
}

// Guards against the clock of small answers: it tells no length and is not whole after that time, but moves.
TEST(LargeAnswers, OneThatTellsNoLengthAndMovesIsNotGivenUp) {
  const std::string body = large(120000);
  FakeServer server([&](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, 40000)));
    std::this_thread::sleep_for(600ms);
    wire.write(chunk(body.substr(40000)) + "0\r\n\r\n");
    return true;
  });
  Deployment d({&server});
  Wire client = d.client();
  client.write(get("r").text());
  EXPECT_EQ(dechunked(body_of(client.read_rest())), body);
  EXPECT_EQ(server.requests().size(), 1U);
}

// Guards against a node that takes in what its client does not read. What the system buffers on the way is
// some megabytes.
TEST(LargeAnswers, AClientThatDoesNotReadHoldsTheServerBack) {
  std::atomic<std::size_t> written = 0;
  const std::string piece = large(kMega);
  constexpr std::size_t kPieces = 60;
  FakeServer server([&](Wire& wire, const std::string&) {
    if (!wire.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kMega) + "\r\n\r\n"))
      return false;
    for (std::size_t i = 0; i < kPieces; ++i) {
      if (!wire.write(piece)) return false;
      written += piece.size();
    }
    return true;
  });
  Deployment d({&server});
  Wire client = d.client();
  client.write(get("r").text());
  ASSERT_TRUE(client.more());
  std::this_thread::sleep_for(1s);
  EXPECT_LT(written, 40 * kMega);
  client.close();
  EXPECT_TRUE(eventually([&] { return server.listener().open() == 0; }))
      << "the server's connection is closed too";
}

// ---------------------------------------------------------------- requests

// A server that takes whole requests of any size and form, and tells their bodies.
class BodyServer {
 public:
  BodyServer()
      : listener_([this](Wire& wire) {
          std::string got;
          const auto keep = [&](const std::string& body) {
            const std::lock_guard lock(mutex_);
            bodies_.push_back(body);
          };
          for (;;) {
            const std::string piece = wire.read_some();
            if (piece.empty()) return;
            got += piece;
            const std::size_t head = got.find("\r\n\r\n");
            if (head == std::string::npos) continue;
            if (field_of(got.substr(0, head + 2), "Transfer-Encoding") == "chunked") {
              if (got.substr(got.size() - 5) != "0\r\n\r\n") continue;
              keep(dechunked(body_of(got)).value_or("broken"));
            } else {
              if (got.size() < head + 4 + std::stoul(field_of(got.substr(0, head + 2), "Content-Length")))
                continue;
              keep(body_of(got));
            }
            got.clear();
            wire.write(http_answer(200, "ok"));
          }
        }) {}
  std::vector<std::string> bodies() {
    const std::lock_guard lock(mutex_);
    return bodies_;
  }
  Listener& listener() { return listener_; }

 private:
  std::mutex mutex_;
  std::vector<std::string> bodies_;
  Listener listener_;
};

// A node before a server that is no FakeServer.
std::unique_ptr<Program> before(const Listener& server) {
  ConfigText config;
  config.known = list(7, true, member("s0", server.address()));
  return std::make_unique<Program>(config.text());
}

TEST(LargeRequests, BothFormsArriveUnchanged) {
  BodyServer server;
  const auto node = before(server.listener());
  Wire client = Wire::to(node->port());
  int n = 0;
  for (const std::size_t size : {std::size_t{65536}, std::size_t{65537}, kMega, kMega + 1, 8 * kMega}) {
    const std::string body = large(size);
    client.write(Ask{.id = "l" + std::to_string(++n), .body = body}.text());
    EXPECT_EQ(status_of(client.read_message()), 200) << size;
    client.write(
        Ask{.id = "c" + std::to_string(n), .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text() +
        chunked(body, 50000, ";x=y") + "X-Trailer: t\r\n\r\n");
    EXPECT_EQ(status_of(client.read_message()), 200) << size;
    const auto bodies = server.bodies();
    ASSERT_EQ(bodies.size(), static_cast<std::size_t>(2 * n));
    EXPECT_EQ(bodies[bodies.size() - 2], body);
    EXPECT_EQ(bodies.back(), body);
  }
}

TEST(LargeRequests, ToldToContinueASlowOneIsServed) {
  BodyServer server;
  const auto node = before(server.listener());
  const std::string body = large(200000),
                    all = Ask{.body = body, .fields = "Expect: 100-continue\r\n"}.text();
  const std::size_t head = all.size() - body.size();
  Wire client = Wire::to(node->port());
  client.write(all.substr(0, head));
  EXPECT_EQ(status_of(client.read_message()), 100);
  for (std::size_t at = head; at < all.size(); at += 12800) {  // 64 kB a second, 3 s in all
    client.write(all.substr(at, 12800));
    std::this_thread::sleep_for(200ms);
  }
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_EQ(server.bodies().size(), 1U);
  EXPECT_EQ(server.bodies()[0], body);
}

TEST(LargeRequests, OneThatStopsHalfWayIsTurnedDownAndNeverSent) {
  BodyServer server;
  const auto node = before(server.listener());
  const std::string all = Ask{.body = large(400000)}.text();
  Wire client = Wire::to(node->port());
  client.write(all.substr(0, 200000));
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_EQ(server.listener().accepted(), 0);
}

// Guards against a second attempt with half a body, and against a client that waits for what can't come.
TEST(LargeRequests, WhenAServerBreaksOffMidwayTheClientHearsAtOnceAndThereIsNoSecondAttempt) {
  Listener server([](Wire& wire) {
    for (std::size_t got = 0, n = 1; n > 0 && got < 3 * kMega / 2; got += n) n = wire.read_some().size();
    wire.reset();
  });
  const auto node = before(server);
  const std::string body = large(8 * kMega);
  Wire client = Wire::to(node->port());
  const std::string all = Ask{.body = body}.text();
  client.write(all.substr(0, 2 * kMega));
  EXPECT_EQ(status_of(client.read_message()), 503) << "its last byte was never written: it can't have run";
  EXPECT_EQ(server.accepted(), 1);
}

// Guards against a server that breaks off while the client pauses, so that nothing is being written to it.
TEST(LargeRequests, WhenAServerBreaksOffInAPauseTheClientHearsAtOnce) {
  std::atomic<int> got = 0;
  Gate gate;
  Listener server([&](Wire& wire) {
    for (std::string piece = wire.read_some(); !piece.empty(); piece = wire.read_some()) {
      got += static_cast<int>(piece.size());
      if (got > static_cast<int>(2 * kMega)) break;
    }
    gate.wait();
    wire.reset();
  });
  const auto node = before(server);
  const std::string all = Ask{.body = large(8 * kMega)}.text();
  Wire client = Wire::to(node->port());
  client.write(all.substr(0, 2 * kMega + 4000));
  ASSERT_TRUE(eventually([&] { return got > static_cast<int>(2 * kMega); }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 503);
}

TEST(LargeRequests, AClientThatLeavesMidwayFreesTheServer) {
  BodyServer server;
  const auto node = before(server.listener());
  Wire client = Wire::to(node->port());
  client.write(Ask{.body = large(8 * kMega)}.text().substr(0, 3 * kMega));
  ASSERT_TRUE(eventually([&] { return server.listener().open() == 1; }));
  client.close();
  EXPECT_TRUE(eventually([&] { return server.listener().open() == 0; }));
  EXPECT_TRUE(server.bodies().empty());
}

TEST(LargeRequests, AHeldOneIsTriedAgain) {
  std::atomic<int> calls = 0;
  FakeServer server([&](Wire& wire, const std::string&) {
    return ++calls == 1 ? wire.write(http_answer(503, "", "X-Not-Processed: 1\r\n"))
                        : wire.write(http_answer(200, "ok"));
  });
  Deployment d({&server});
  const std::string body = large(300000);
  Wire client = d.client();
  client.write(Ask{.body = body}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_EQ(server.requests().size(), 2U);
  EXPECT_EQ(body_of(server.requests()[0]), body);
  EXPECT_EQ(body_of(server.requests()[1]), body);
}

// Guards against many large bodies at once in little memory: what does not fit is refused or streamed, and
// all get an answer.
TEST(LargeRequests, ManyAtOnceInLittleMemoryAreAllServed) {
  BodyServer server;
  ConfigText config;
  config.memory_mb = 32;
  config.known = list(7, true, member("s0", server.listener().address()));
  const Program node(config.text());
  const std::string body = large(4 * kMega);
  std::vector<std::thread> clients;
  std::atomic<int> served = 0;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      Wire client = Wire::to(node.port_now());
      client.write(Ask{.id = "m" + std::to_string(i), .body = body}.text());
      served += status_of(client.read_message()) == 200;
    });
  }
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(served, 8);
  for (const std::string& got : server.bodies()) EXPECT_TRUE(got == body);
}

}  // namespace
}  // namespace nettleyoke::node
