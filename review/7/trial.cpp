// Case 7: a small answer that never ends keeps its request without a final answer.
#include <memory>

#include "stand_ins.h"

using namespace review;

namespace {

constexpr int kRequests = 12;
constexpr double kTimeout = 1.0;  // s that each client waits
// s after it within which a final answer only earns nothing, and the 50 ms by which each limit grows on
// sockets.
constexpr double kLate = 0.5 + 0.05;
constexpr double kWatched = 8.0;      // s for which the client looks on
constexpr std::size_t kBody = 20000;  // bytes at once; far under 64 KiB
constexpr double kPause = 0.1;        // s between two further bytes
constexpr int kSpoiltOneIn = 3;

std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

bool answer(Connection& connection, const std::string& server, const Request& request, bool is_spoilt) {
  sleep_for(0.02);
  const std::string body = body_for(server, request.id) + std::string(kBody, '.');
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!connection.send(head + chunk(body))) return false;
  if (!is_spoilt) return connection.send("0\r\n\r\n");
  const double began_at = now();
  int bytes = 0;
  while (connection.send(chunk("."))) {
    ++bytes;
    sleep_for(kPause);
  }
  record("%s: the answer to %s was given up by the node after %.1f s, %d bytes after the first %zu",
         server.c_str(), request.id.c_str(), now() - began_at, bytes, body.size());
  return false;
}

}  // namespace

int main() {
  const auto handler = [](const std::string& name) {
    return [name, count = std::make_shared<std::atomic<int>>(0)](Connection& connection,
                                                                 const Request& request) {
      return answer(connection, name, request, has_trouble() && ++*count % kSpoiltOneIn == 0);
    };
  };
  Server first("s-0001", handler("s-0001"));
  Server second("s-0002", handler("s-0002"));
  Server third("s-0003", handler("s-0003"));
  Agent agent({&first, &second, &third});
  Node node(agent, {{"status", "safe", 0.75, 2.0}});
  sleep_for(1);

  std::atomic<int> lost{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&] {
      const std::string id = new_id();
      Connection connection(connect_to(node.port()));
      const double sent_at = now();
      if (!connection.send(get_request("status", id, static_cast<long>(kTimeout * 1000)))) return;
      const Answer got = read_answer(connection, sent_at + kWatched);
      const double took = got.ended_at - sent_at;
      const bool is_ended = got.is_whole || got.end != Connection::End::kTimeout;
      const bool is_lost = !is_ended || took > kTimeout + kLate;
      record("client: %s: status %d, %zu bytes, %s, %s after %.2f s%s", id.c_str(), got.status,
             got.body.size(), got.is_whole ? "whole" : "not whole", name_of(got.end), took,
             is_lost ? ", LOST" : "");
      lost += is_lost ? 1 : 0;
      served += got.is_whole && got.status == 200 ? 1 : 0;
    });
    sleep_for(0.1);
  }
  for (std::thread& client : clients) client.join();
  if (served == 0) cannot_run("no request was served");
  finish(lost > 0, std::to_string(lost) + " of " + std::to_string(kRequests) +
                       " requests had no final answer 0.55 s after their time");
}
