/// @file
/// One client sends small or unsound requests on one connection as fast as it can: other clients are served
/// in time, and the memory of the process does not grow with it.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <ostream>
#include <string>
#include <thread>

#include "harness/process_memory.h"
#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// What the client sends, with a number that is new each time.
struct Flood {
  const char* name;
  std::string (*request)(int number);
};
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Flood& flood, std::ostream* out) { *out << flood.name; }

std::string numbered(const std::string& prefix, int number) { return prefix + std::to_string(number); }

std::string health_check(int) { return kHealthRequest; }
std::string small_request(int number) { return get_request(numbered("f", number)).text(); }
std::string unknown_class(int number) {
  return RequestBuilder{.request_class = numbered("class", number), .id = numbered("f", number)}.text();
}
std::string unknown_tenant(int number) {
  RequestBuilder request = get_request(numbered("f", number));
  request.fields = "X-Tenant-Id: " + numbered("tenant", number) + "\r\n";
  return request.text();
}
std::string without_id(int) { return RequestBuilder{.id = ""}.text(); }
std::string malformed(int number) { return numbered("GARBAGE ", number) + "\r\n\r\n"; }
std::string unsafe_request(int number) { return RequestBuilder{.id = numbered("f", number)}.text(); }
// One request whose body never ends.
std::string endless_small_chunks(int number) {
  if (number > 0) return "1\r\nb\r\n";
  return RequestBuilder{.id = "endless", .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text();
}

// Sends requests until `stop` is set, on a new connection whenever the node has closed the last one.
void send_flood(const NodeProcess& node, const Flood& flood, const std::atomic<bool>& stop) {
  constexpr std::size_t kBatchBytes = 16 * kKibibyte;
  int number = 0;
  Connection client = Connection::to(node.port());
  while (!stop) {
    std::string batch;
    while (batch.size() < kBatchBytes) batch += flood.request(number++);
    std::size_t sent = 0;
    while (!stop && sent < batch.size()) {
      pollfd state{client.fd(), POLLIN | POLLOUT, 0};
      ::poll(&state, 1, 10);
      std::array<char, 65536> responses{};
      const ssize_t received = ::recv(client.fd(), responses.data(), responses.size(), MSG_DONTWAIT);
      const ssize_t written =
          ::send(client.fd(), batch.data() + sent, batch.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (written > 0) sent += static_cast<std::size_t>(written);
      if (received == 0 || (written < 0 && errno != EAGAIN)) {
        client = Connection::to(node.port());
        number = 0;
        break;
      }
    }
  }
}

class FloodOfRequests : public testing::TestWithParam<Flood> {};

INSTANTIATE_TEST_SUITE_P(
    Of, FloodOfRequests,
    testing::Values(Flood{"HealthChecks", health_check}, Flood{"SmallRequests", small_request},
                    Flood{"UnsafeRequests", unsafe_request}, Flood{"UnknownClasses", unknown_class},
                    Flood{"UnknownTenants", unknown_tenant}, Flood{"RequestsWithoutId", without_id},
                    Flood{"MalformedRequests", malformed}, Flood{"EndlessSmallChunks", endless_small_chunks}),
    [](const auto& info) { return std::string(info.param.name); });

// Prevents this failure: a client that sent at full speed kept others from being answered, or memory grew.
TEST_P(FloodOfRequests, OnOneConnectionDelaysNoOtherClient) {
  constexpr auto kDuration = 3s;
  constexpr std::size_t kMaxGrowth = 8 * kMebibyte;
  FakeServer first(always_reply(200, "ok")), second(always_reply(200, "ok"));
  NodeConfig config;
  config.memory_mb = 32;
  config.admin = "127.0.0.1:0";
  Deployment deployment({&first, &second}, config);
  ASSERT_TRUE(deployment.eventually_answers_with_status(200));
  const std::size_t memory_before = peak_memory_bytes(*deployment.program);
  std::atomic<bool> stop = false;
  std::thread flood([&] { send_flood(*deployment.program, GetParam(), stop); });
  const auto start = std::chrono::steady_clock::now();
  auto slowest = std::chrono::steady_clock::duration::zero();
  int requests = 0;
  int served = 0;
  Connection client = deployment.client();
  for (; std::chrono::steady_clock::now() - start < kDuration; ++requests) {
    const auto sent_at = std::chrono::steady_clock::now();
    RequestBuilder request = get_request(numbered("other", requests));
    request.timeout_ms = "500";
    served += status_of(exchange(client, request)) == 200 ? 1 : 0;
    slowest = std::max(slowest, std::chrono::steady_clock::now() - sent_at);
    std::this_thread::sleep_for(20ms);
  }
  const auto called_at = std::chrono::steady_clock::now();
  EXPECT_EQ(deployment.program->admin_command("READY"), "YES\n");
  EXPECT_LT(std::chrono::steady_clock::now() - called_at, 1s);
  stop = true;
  flood.join();
  EXPECT_LT(slowest, 500ms);
  EXPECT_EQ(served, requests) << deployment.program->log().substr(0, 2000);
  EXPECT_LT(peak_memory_bytes(*deployment.program), memory_before + kMaxGrowth);
}

}  // namespace
}  // namespace nettleyoke::node
