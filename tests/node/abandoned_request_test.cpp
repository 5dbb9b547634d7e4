/// @file
/// Requests of clients that have left: nothing more is sent for them, also where the end of the connection is
/// behind bytes that the node has not read, and a request that may have run is not run again under its id.
#include <gtest/gtest.h>

#include <atomic>
#include <ostream>
#include <string>
#include <thread>

#include "admin_harness.h"
#include "harness/held_server_deployment.h"
#include "harness/platform.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// The pages count an attempt as a break that begins later than this after its client has left.
constexpr auto kAttemptSlack = 100ms;

// Writes requests until the sockets hold no more of them, which is far more than the node reads ahead.
void pipeline_requests(Connection& client) {
  std::string text = RequestBuilder{.id = "first"}.text();
  for (int i = 0; text.size() < 8 * kMebibyte; ++i)
    text += RequestBuilder{.id = "behind" + std::to_string(i)}.text();
  client.write_until_blocked(text, 100);
}

class UnreadRequests : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(By, UnreadRequests, testing::Bool(),
                         [](const auto& info) { return std::string(info.param ? "Reset" : "Fin"); });

// Prevents this failure: a client left with much unread, and its requests were sent on afterwards.
TEST_P(UnreadRequests, OfAClientThatHasLeftAreNotSent) {
  std::atomic<bool> has_left = false;
  std::atomic<int> sent_afterwards = 0;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    if (has_left) ++sent_afterwards;
    std::this_thread::sleep_for(20ms);
    return connection.write(http_response(200, "ok"));
  });
  Connection client = deployment.client();
  pipeline_requests(client);
  ASSERT_TRUE(eventually([&] { return !deployment.server.requests().empty(); }));
  GetParam() ? client.reset() : client.close();
  std::this_thread::sleep_for(kAttemptSlack);
  has_left = true;
  std::this_thread::sleep_for(500ms);
  EXPECT_EQ(sent_afterwards, 0);
}

// The same failure by a retry: the first attempt ends after the client has left.
TEST_P(UnreadRequests, OfAClientThatHasLeftAreNotRetried) {
  Gate gate;
  OneServerDeployment deployment([&](Connection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  });
  Connection client = deployment.client();
  pipeline_requests(client);
  ASSERT_TRUE(deployment.server.eventually_received(1));
  GetParam() ? client.reset() : client.close();
  std::this_thread::sleep_for(kAttemptSlack);
  gate.open();
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
}

// How a client leaves a request that its server has.
struct Departure {
  const char* name;
  bool by_reset;
  bool can_cancel;
  const char* request_class;
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Departure& departure, std::ostream* out) { *out << departure.name; }

class RepeatedId : public testing::TestWithParam<Departure> {};

INSTANTIATE_TEST_SUITE_P(After, RepeatedId,
                         testing::Values(Departure{"UnsafeFin", false, true, "close"},
                                         Departure{"UnsafeReset", true, true, "close"},
                                         Departure{"UnsafeWithoutCancel", false, false, "close"},
                                         Departure{"KeyedFin", false, true, "mark"},
                                         Departure{"KeyedReset", true, true, "mark"}),
                         [](const auto& info) { return std::string(info.param.name); });

RequestBuilder repeated_request(const Departure& departure) {
  RequestBuilder request{.request_class = departure.request_class, .id = "again"};
  if (request.request_class == "mark") request.idempotency_key = "k";
  return request;
}

NodeConfig config_for(const Departure& departure) {
  NodeConfig config = with_admin_server();
  config.bounds = bounds_with_slow_connects(departure.can_cancel ? "true" : "false");
  return config;
}

// Lets a client send the request and leave while the server has it.
void leave_request(Deployment& deployment, FakeServer& server, const Departure& departure) {
  Connection client = deployment.client();
  client.write(repeated_request(departure).text());
  ASSERT_TRUE(server.eventually_received(1));
  departure.by_reset ? client.reset() : client.close();
  std::this_thread::sleep_for(200ms);
}

// Prevents this failure: an id ran twice when it came again after its client had left.
TEST_P(RepeatedId, OfARequestThatMayHaveRunIsNotSentAgain) {
  Gate gate;
  FakeServer server(reply_after(gate));
  Deployment deployment({&server}, config_for(GetParam()));
  leave_request(deployment, server, GetParam());
  const int status = deployment.status_for(repeated_request(GetParam()));
  EXPECT_TRUE(status >= 400 && status != 429 && status != 503) << status;
  gate.open();
  EXPECT_TRUE(deployment.program->eventually_reports(R"("inflight":0,)"));
  EXPECT_EQ(server.requests().size(), 1U);
}

// The same failure, at the other process of an upgrade.
TEST_P(RepeatedId, IsNotSentByTheOtherProcessOfATakeover) {
  Gate gate;
  FakeServer server(reply_after(gate));
  const Platform platform;
  Deployment old_node({&server}, config_for(GetParam()), platform.start_options());
  leave_request(old_node, server, GetParam());
  const NodeProcess new_node(old_node.config.text(), platform.start_options());
  ASSERT_TRUE(eventually([&] { return new_node.admin_command("READY") == "YES\n"; }));
  old_node.program->signal(SIGTERM);
  EXPECT_EQ(old_node.program->exit_status(), 0);
  const int status = old_node.status_for(repeated_request(GetParam()));
  EXPECT_TRUE(status >= 400 && status != 429 && status != 503) << status;
  gate.open();
  EXPECT_EQ(server.requests().size(), 1U);
}

// The request never reached a server, so that it may come again.
TEST(RepeatedIdOfAnUnsentRequest, IsServed) {
  HeldServerDeployment held;
  held.server.fill_queue();
  {
    Connection client = held.client();
    client.write(RequestBuilder{.id = "again"}.text());
    ASSERT_TRUE(held.server.eventually_has_pending_connects(1));
  }
  ASSERT_TRUE(held.logged_disconnect_of("again"));
  Connection client = held.client();
  client.write(RequestBuilder{.id = "again"}.text());
  for (;;) {
    Connection server(held.server.accept());
    ASSERT_TRUE(server.is_open());
    if (read_request_id(server) != "again") continue;
    server.write(http_response(200, "ok"));
    break;
  }
  EXPECT_EQ(body_of(client.read_message()), "ok");
}

// A client that leaves while its response is written has not got it, and sends the request again.
TEST(RepeatedIdOfAnUnreadResponse, IsNotSentAgain) {
  const std::string body(12 * kMebibyte, 'b');
  OneServerDeployment deployment(always_reply(200, body), with_admin_server());
  {
    Connection client = deployment.client();
    client.write(RequestBuilder{.id = "again"}.text());
    ASSERT_TRUE(client.receive_more());
    client.reset();
  }
  ASSERT_TRUE(deployment.program->eventually_reports(R"("inflight":0,)"));
  EXPECT_GE(deployment.status_for({.id = "again"}), 400);
  EXPECT_EQ(deployment.server.requests().size(), 1U);
}

}  // namespace
}  // namespace nettleyoke::node
