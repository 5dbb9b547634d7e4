// The server stand-in's responses to a node, and the attempt outcomes that it reports to the checker.
#include "stand_ins/server_stand_in.h"

#include "lab_harness.h"

namespace nettleyoke::lab {
namespace {

using node::Connection;

struct ServerStandInTest : StandInTest {
  ServerStandIn server{
      loop.io(), clock, checker, "s0", {1, 1, 0, 1, 0}, {2, 60}, {class_spec(Idempotency::kIdempotent)}, 1};

  int port() const { return std::stoi(server.address().substr(std::string("127.0.0.1:").size())); }
  Connection connect() const { return Connection::to(port()); }
  // Records a call in the checker, sends it, and returns the response.
  std::string call(Connection& connection, const std::string& id) {
    loop.in_loop([&] { checker.call_sent(id, node_number, 0, 20, clock.now()); });
    return send(connection, id) ? connection.read_message() : "";
  }
  static bool send(Connection& connection, const std::string& id) {
    return connection.write("GET /look/1 HTTP/1.1\r\nHost: s\r\n" +
                            (id.empty() ? "" : "X-Request-ID: " + id + "\r\n") +
                            "X-Timeout-Ms: 20000\r\n\r\n");
  }
  AttemptOutcome outcome(const std::string& id, std::size_t attempt = 0) {
    AttemptOutcome result = AttemptOutcome::kInFlight;
    loop.in_loop([&] { result = checker.calls().at(id).attempts.at(attempt).outcome; });
    return result;
  }
  bool has_arrived(const std::string& id) {
    return node::eventually([&] {
      bool result = false;
      loop.in_loop([&] { result = !checker.calls().at(id).attempts.empty(); });
      return result;
    });
  }
};

TEST_F(ServerStandInTest, Up_RequestsArrive_ResponsesAndOutcomesFitEachRequest) {
  Connection connection = connect();
  EXPECT_EQ(node::body_of(call(connection, "r1")), "r1 s0");
  EXPECT_EQ(outcome("r1"), AttemptOutcome::kServed);
  ASSERT_TRUE(send(connection, ""));
  EXPECT_EQ(node::status_of(connection.read_message()), 404);  // without an id
  ASSERT_TRUE(send(connection, "nobody's"));
  EXPECT_EQ(node::status_of(connection.read_message()), 400);
  loop.in_loop([this] { server.model().set_failing(true); });
  EXPECT_EQ(node::status_of(call(connection, "r2")), 500);
  EXPECT_EQ(outcome("r2"), AttemptOutcome::kServerError);
  // On a connection over the limit of two, the request is rejected unprocessed.
  Connection second = connect(), third = connect();
  call(second, "r3");
  const std::string rejection = call(third, "r4");
  EXPECT_EQ(node::status_of(rejection), 503);
  EXPECT_EQ(node::field_of(rejection, "X-Not-Processed"), "1");
  EXPECT_EQ(outcome("r4"), AttemptOutcome::kRejected);
}

TEST_F(ServerStandInTest, Hanging_NodeClosesOrServerCrashes_AttemptAbandonedOrReset) {
  loop.in_loop([this] {
    server.model().set_hanging(true);
    for (const char* id : {"r1", "r2"}) checker.call_sent(id, node_number, 0, 20, clock.now());
  });
  Connection first = connect(), second = connect();
  ASSERT_TRUE(send(first, "r1"));
  ASSERT_TRUE(send(second, "r2"));
  ASSERT_TRUE(has_arrived("r1") && has_arrived("r2"));
  EXPECT_EQ(outcome("r1"), AttemptOutcome::kInFlight);
  first.close();
  EXPECT_TRUE(node::eventually([&] { return outcome("r1") == AttemptOutcome::kAbandoned; }));
  const int old_port = port();
  loop.in_loop([this] { server.crash(); });
  EXPECT_EQ(outcome("r2"), AttemptOutcome::kReset);
  EXPECT_EQ(second.read_message(), "");
  EXPECT_FALSE(Connection::to(old_port).is_open());
}

}  // namespace
}  // namespace nettleyoke::lab
