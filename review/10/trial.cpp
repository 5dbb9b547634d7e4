// Case 10: a client that takes a large answer at 64 kB a second is cut off.
#include <algorithm>
#include <atomic>
#include <cstdlib>

#include "stand_ins.h"

using namespace review;

namespace {

constexpr std::size_t kBody = 16000000;  // bytes, half of what the page allows
constexpr double kRate = 64000;          // bytes a second
constexpr double kStep = 0.1;            // s between two reads
constexpr double kWatched = 60;          // s for which the client takes the answer at that rate

std::atomic<bool> is_cut_off{false};

bool answer(Connection& connection, const std::string& server, const Request& request) {
  const bool sent = connection.send(ok_response(std::string(kBody, 'x')));
  record("%s: answer to %s %s", server.c_str(), request.id.c_str(),
         sent ? "written whole" : "not written whole: the node has closed the connection");
  if (!sent) is_cut_off = true;
  return sent;
}

}  // namespace

int main() {
  const auto handler = [](const std::string& name) {
    return
        [name](Connection& connection, const Request& request) { return answer(connection, name, request); };
  };
  Server first("s-0001", handler("s-0001"));
  Server second("s-0002", handler("s-0002"));
  Agent agent({&first, &second});
  Node node(agent, {{"status", "safe", 0.75, 2.0}});
  sleep_for(1);

  Connection connection(connect_to(node.port()));
  const std::string id = new_id();
  const double sent_at = now();
  connection.send(get_request("status", id, 1000));
  Head head;
  if (!connection.read_head(head, sent_at + 3)) cannot_run("no answer began");
  record("client: %s after %.3f s", head.first_line.c_str(), now() - sent_at);
  if (head.first_line.find(" 200 ") == std::string::npos) cannot_run("the request was not served");
  if (head.field("content-length") != std::to_string(kBody)) cannot_run("the answer has no length");

  std::string body;
  const double began_at = now();
  double reported_at = began_at;
  bool is_open = true;
  while (has_trouble() && is_open && !is_cut_off && now() < began_at + kWatched) {
    const std::size_t wanted =
        std::min(kBody, static_cast<std::size_t>((now() - began_at + 2 * kStep) * kRate));
    if (wanted > body.size()) is_open = connection.read_bytes(body, wanted, now() + 3);
    sleep_for(kStep);
    if (now() < reported_at + 2) continue;
    reported_at = now();
    record("client: has taken %zu bytes in %.1f s", body.size(), reported_at - began_at);
  }
  const bool is_watch_over = has_trouble() && is_open && !is_cut_off;
  // The rest at full speed: all that the node has sent.
  if (is_open) is_open = connection.read_bytes(body, kBody, now() + 10);
  record("client: took %zu of %zu bytes in %.1f s, connection %s", body.size(), kBody, now() - began_at,
         name_of(connection.end()));
  const bool is_lost = body.size() < kBody;
  if (is_lost && !is_cut_off) cannot_run("the answer did not end, and its server was not cut off");
  finish(is_lost, is_lost ? "the node cut off an answer that its server still gave and its client took"
                  : is_watch_over ? "the answer was not cut off while its client took it slowly"
                                  : "the client got the whole answer");
}
