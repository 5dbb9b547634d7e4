// Large requests are being uploaded while the node is restarted as planned. Each request whose last byte
// reached the node more than 0.7 s after SIGTERM must have its answer by the SIGKILL.
#include "../common/stand_ins.h"

using namespace review;

namespace {

constexpr int kServers = 3;
constexpr int kUploads = 24;
constexpr double kServiceSeconds = 0.5;  // within the deadline of 0.8 s
constexpr double kUploadSeconds = 5.0;
constexpr std::size_t kBodyBytes = 2000 * 1024;
constexpr double kFirstEnd = 0.2;  // last bytes, from SIGTERM
constexpr double kLastEnd = 1.45;
constexpr double kKillAfter = kLongestDeadline + 0.7;
constexpr int kTimeoutMs = 800;  // the deadline of `pay`

struct Upload {
  RequestText request;
  double planned_end = 0;
  double first_byte = 0;
  double last_byte = 0;  // 0: never written
  double answered = 0;   // 0: no whole answer
  int status = 0;
  std::string end;
};

// The requests that a server has received whole, by id: the node has sent them on.
std::mutex forwarded_mutex;
std::set<std::string> forwarded;

}  // namespace

int main(int count, char** values) {
  const Arguments arguments(count, values);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::string> endpoints;
  for (int i = 0; i < kServers; ++i) {
    const std::string name = "s-" + std::to_string(i);
    servers.push_back(std::make_unique<Server>(name, [name](const auto& connection, const Message& request) {
      record("server %s: %s complete, %zu bytes", name.c_str(), request.field("x-request-id").c_str(),
             request.body.size());
      {
        const std::lock_guard lock(forwarded_mutex);
        forwarded.insert(request.field("x-request-id"));
      }
      sleep_for(kServiceSeconds);
      connection->send(ok_response("done " + request.field("x-request-id")));
    }));
    endpoints.push_back(Discovery::up(*servers.back(), 0));
  }
  const Discovery discovery(endpoints);
  Node node(arguments.run, arguments.temporary_folder, parcel_desk_settings(), discovery.address(),
            discovery.list());
  node.await_ready();

  const double term_at = now() + kUploadSeconds + 0.5;
  std::vector<Upload> uploads(kUploads);
  std::vector<std::thread> clients;
  for (int i = 0; i < kUploads; ++i) {
    Upload& upload = uploads[static_cast<std::size_t>(i)];
    upload.planned_end = term_at + kFirstEnd + (kLastEnd - kFirstEnd) * i / (kUploads - 1);
    upload.request.class_name = "pay";
    upload.request.id = new_id("b0");
    upload.request.timeout_ms = kTimeoutMs;
    upload.request.content_length = static_cast<long>(kBodyBytes);
    clients.emplace_back([&node, &upload] {
      const double begin = upload.planned_end - kUploadSeconds;
      sleep_until(begin);
      const int fd = connect_to(node.port());
      if (fd < 0) {
        upload.end = "not connected";
        return;
      }
      const std::string body(kBodyBytes, 'b');
      Reader reader(fd);
      Message answer;
      upload.first_byte = now();
      bool open = send_all(fd, upload.request.head());
      constexpr std::size_t kPiece = 16 * 1024;
      for (std::size_t sent = 0; open && sent < body.size(); sent += kPiece) {
        const std::size_t size = std::min(kPiece, body.size() - sent);
        sleep_until(begin +
                    kUploadSeconds * static_cast<double>(sent + size) / static_cast<double>(body.size()));
        pollfd early{fd, POLLIN, 0};
        if (::poll(&early, 1, 0) > 0) break;  // an answer or a close before the end
        open = send_all(fd, body.data() + sent, size);
        if (open && sent + size == body.size()) upload.last_byte = now();
      }
      const Reader::Result result = reader.read(answer, now() + kTimeoutMs / 1000.0 + 0.6);
      upload.end = name_of(result);
      if (result == Reader::Result::kMessage) {
        upload.answered = now();
        upload.status = answer.status();
      }
      ::close(fd);
    });
  }

  double terminated = 0, killed = 0;
  if (has_trouble()) {
    sleep_until(term_at);
    terminated = now();
    node.signal(SIGTERM);
    record("SIGTERM");
    sleep_until(terminated + kKillAfter + 0.01);
    if (node.has_ended()) {
      record("the node has ended by itself");
    } else {
      node.signal(SIGKILL);
      record("SIGKILL");
    }
    killed = now();
    node.kill();
  }
  for (std::thread& client : clients) client.join();

  int lost = 0, answered = 0, judged = 0;
  for (const Upload& upload : uploads) {
    record("%s: first byte %.3f, last byte %.3f, %s %d at %.3f", upload.request.id.c_str(), upload.first_byte,
           upload.last_byte, upload.end.c_str(), upload.status, upload.answered);
    answered += upload.answered > 0 ? 1 : 0;
    if (!has_trouble()) {
      lost += upload.last_byte > 0 && upload.answered == 0 ? 1 : 0;
      continue;
    }
    // Taken more than 0.7 s after SIGTERM (0.05 s of slack) and never answered, although 0.15 s or more were
    // left.
    if (upload.last_byte < terminated + 0.75 || upload.last_byte > killed - 0.15) continue;
    ++judged;
    if (upload.answered > 0) continue;
    {
      // The first request on a connection that is closed without having been sent on has failed and is not
      // lost.
      const std::lock_guard lock(forwarded_mutex);
      if (!forwarded.contains(upload.request.id)) continue;
    }
    ++lost;
    record("LOST: %s was taken %.3f s after SIGTERM and %.3f s before SIGKILL, and got no answer",
           upload.request.id.c_str(), upload.last_byte - terminated, killed - upload.last_byte);
  }
  record("uploads %d, answered %d; taken between SIGTERM + 0.75 s and SIGKILL - 0.15 s: %d, LOST %d",
         kUploads, answered, judged, lost);
  if (answered == 0 || (has_trouble() && judged == 0))
    could_not_run("no upload was answered, or none is judged");
  end(node, lost > 0 ? kBroken : kHeld);
}
