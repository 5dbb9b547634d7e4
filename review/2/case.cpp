// One server of ten hangs for a while: it takes connections and what the system receives for it, reads
// nothing and answers nothing. Then it goes on and works off what has come. A request with a key must not be
// applied twice: no attempt may reach a server later than the window in which the servers drop repeats.
#include <sys/ioctl.h>

#include "../common/stand_ins.h"

using namespace review;

namespace {

constexpr int kServers = 10;           // one of them hangs: a tenth
constexpr double kHangSeconds = 18.0;  // 8.8 to 24 s
constexpr double kWindow = 1.2;        // dedupWindow of `route`; its group is `all`
constexpr double kSlack = 0.2;         // 0.05 s of the rules on sockets and 0.15 s of a node that is held up
constexpr double kServiceSeconds = 0.03;
constexpr std::size_t kBodyBytes[] = {200 * 1000, 400 * 1000, 800 * 1000};  // in turn
constexpr int kTimeoutMs = 900;
constexpr int kClients = 8;

std::atomic<bool> hangs{false};

struct Run {
  double time;
  std::string server;
  // The request's last byte had not come when the server went on: what it had received by then was less than
  // the request.
  bool has_come_late;
};

// What the servers have run, by key. They drop a repeat for kWindow from the last run, as the class says.
struct Runs {
  std::mutex mutex;
  std::map<std::string, std::vector<Run>> by_key;

  bool run(const std::string& key, const std::string& server, bool has_come_late) {
    const std::lock_guard lock(mutex);
    std::vector<Run>& runs = by_key[key];
    const double time = now();
    if (!runs.empty() && time < runs.back().time + kWindow) return false;
    runs.push_back({time, server, has_come_late});
    return true;
  }
};
Runs runs;

void serve(const std::string& server, int fd) {
  Reader reader(fd);
  for (;;) {
    // While it hangs it reads nothing.
    pollfd poll_fd{fd, POLLIN, 0};
    ::poll(&poll_fd, 1, -1);
    int come = -1;  // bytes that had come when the server went on; -1: it was not hanging
    if (hangs && server == "s-0") {
      while (hangs) sleep_for(0.005);
      ::ioctl(fd, FIONREAD, &come);
      record("server %s goes on: %d bytes have come on this connection so far", server.c_str(), come);
    }
    Message request;
    if (reader.read(request, now() + 3600) != Reader::Result::kMessage) break;
    const std::string id = request.field("x-request-id");
    const bool has_come_late = come >= 0 && come < static_cast<int>(request.body.size());
    const bool is_run = runs.run(request.field("idempotency-key"), server, has_come_late);
    record("server %s: %s complete (%zu bytes of body), %s", server.c_str(), id.c_str(), request.body.size(),
           is_run ? "RUN" : "dropped as a repeat");
    sleep_for(kServiceSeconds);
    if (!send_all(fd, ok_response("done " + id))) break;
  }
  ::close(fd);
}

struct RawServer {
  std::string name;
  Listener listener;
  std::string endpoint() const {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(listener.port()) +
           "\",\"zone\":\"akl-dc1\",\"type\":\"sched-std\",\"group\":0,\"status\":\"up\",\"weight\":1.0,"
           "\"since_ms\":0}";
  }
};

}  // namespace

int main(int count, char** values) {
  const Arguments arguments(count, values);
  std::vector<std::unique_ptr<RawServer>> servers;
  std::vector<std::string> endpoints;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<RawServer>());
    RawServer* const server = servers.back().get();
    server->name = "s-" + std::to_string(i);
    endpoints.push_back(server->endpoint());
    std::thread([server] {
      for (;;) {
        const int fd = server->listener.accept();
        if (fd >= 0) std::thread([server, fd] { serve(server->name, fd); }).detach();
      }
    }).detach();
  }
  const Discovery discovery(endpoints);
  Node node(arguments.run, arguments.temporary_folder, parcel_desk_settings(), discovery.address(),
            discovery.list());
  node.await_ready();

  const double hang_at = now() + 3;
  std::atomic<unsigned> sent{0}, served{0}, failed{0};
  std::mutex sent_mutex;
  std::map<std::string, std::pair<double, double>> answered;  // id: sent, answered
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      unsigned number = 0;
      while (now() < hang_at + kHangSeconds + 1) {
        const int fd = connect_to(node.port());
        if (fd < 0) break;
        Reader reader(fd);
        for (bool open = true; open && now() < hang_at + kHangSeconds + 1;) {
          const std::string body(kBodyBytes[number++ % std::size(kBodyBytes)], 'h');
          RequestText request;
          request.class_name = "route";
          request.id = new_id("c0");
          request.key = "key-" + request.id;  // each request has its own key and is sent by its client once
          request.timeout_ms = kTimeoutMs;
          request.content_length = static_cast<long>(body.size());
          Message answer;
          ++sent;
          open = send_all(fd, request.head()) && send_all(fd, body);
          const double sent_at = now();
          const Reader::Result result = open ? reader.read(answer, now() + 1.5) : Reader::Result::kClosed;
          const bool is_served = result == Reader::Result::kMessage && answer.status() == 200;
          is_served ? ++served : ++failed;
          if (!is_served) {
            record("client %d: %s: %s %d", i, request.id.c_str(), name_of(result), answer.status());
          }
          {
            const std::lock_guard lock(sent_mutex);
            answered[request.id] = {sent_at, now()};
          }
          open = open && result == Reader::Result::kMessage && answer.field("connection") != "close";
          sleep_for(0.1);
        }
        ::close(fd);
      }
    });
  }
  if (has_trouble()) {
    sleep_until(hang_at);
    hangs = true;
    record("server s-0 hangs");
    sleep_until(hang_at + kHangSeconds);
    hangs = false;
    record("server s-0 goes on");
  }
  for (std::thread& client : clients) client.join();
  sleep_for(1);

  int twice = 0;
  {
    const std::lock_guard lock(runs.mutex);
    const std::lock_guard sent_lock(sent_mutex);
    for (const auto& [key, list] : runs.by_key) {
      if (list.size() < 2) continue;
      const auto [sent_at, answered_at] = answered[key.substr(4)];
      // A request that had come whole before its attempt was given up may run late: that one does not count.
      const bool is_late = list[1].has_come_late && list[1].time > list[0].time + kWindow + kSlack;
      twice += is_late ? 1 : 0;
      record(
          "%s: run on %s at %.3f and again on %s at %.3f; its client sent it once, at %.3f, and had its "
          "answer at "
          "%.3f",
          is_late ? "APPLIED TWICE" : "run twice, not counted", list[0].server.c_str(), list[0].time,
          list[1].server.c_str(), list[1].time, sent_at, answered_at);
    }
  }
  record("requests %u, served %u, others %u; APPLIED TWICE %d", sent.load(), served.load(), failed.load(),
         twice);
  if (served == 0) could_not_run("no request was served");
  end(node, twice > 0 ? kBroken : kHeld);
}
