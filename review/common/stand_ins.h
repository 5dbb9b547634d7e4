// Stand-ins for servers, discovery and clients, and the process of one node, for the cases of this folder.
// Header only; POSIX sockets and threads; loopback addresses only. Written from PROTOCOL and DEPLOY.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr unsigned kMaxSeconds = 115;  // then the program ends by SIGALRM

// ------------------------------------------------------------------------------------------------ time,
// record

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_until(double time) {
  const double left = time - now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}
inline void sleep_for(double seconds) { sleep_until(now() + seconds); }

class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "we");
    if (file_ == nullptr) std::exit(kCouldNotRun);
    now();
  }
  void line(const char* format, va_list arguments) {
    char text[1024];
    std::vsnprintf(text, sizeof text, format, arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  Record::get().line(format, arguments);
  va_end(arguments);
}

[[noreturn]] inline void could_not_run(const std::string& why) {
  record("COULD NOT RUN: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::_Exit(kCouldNotRun);
}

// Whether the disruption is played: TROUBLE=0 leaves it out.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

// ------------------------------------------------------------------------------------------------ sockets

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

class Listener {
 public:
  Listener() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(0);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd_, 512) != 0) {
      could_not_run("cannot listen on loopback");
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  std::uint16_t port() const { return port_; }
  int accept() const {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
  }

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

// A port that is free now, for a program that binds it later.
inline std::uint16_t free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    could_not_run("no free port");
  }
  ::close(fd);
  return ntohs(address.sin_port);
}

inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const char* bytes, std::size_t size) {
  while (size > 0) {
    const ssize_t sent = ::send(fd, bytes, size, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}
inline bool send_all(int fd, const std::string& text) { return send_all(fd, text.data(), text.size()); }

// ------------------------------------------------------------------------------------------------ HTTP

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// Reads messages one after another from a connection.
class Reader {
 public:
  enum class Result { kMessage, kClosed, kReset, kTimeout, kBroken };

  explicit Reader(int fd) : fd_(fd) {}

  // `until` is a time on now()'s clock. Bytes of an incomplete message are kept for the next call.
  Result read(Message& message, double until) {
    for (;;) {
      const Result parsed = parse(message);
      if (parsed != Result::kTimeout) return parsed;
      const double left = until - now();
      if (left <= 0) return Result::kTimeout;
      pollfd poll_fd{fd_, POLLIN, 0};
      const int ready = ::poll(&poll_fd, 1, static_cast<int>(left * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) continue;
      char bytes[65536];
      const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
      if (size == 0) return text_.empty() ? Result::kClosed : Result::kBroken;
      if (size < 0 && errno == EINTR) continue;
      if (size < 0) return Result::kReset;
      text_.append(bytes, static_cast<std::size_t>(size));
    }
  }

 private:
  // kTimeout: more bytes are needed.
  Result parse(Message& message) {
    const std::size_t head_end = text_.find("\r\n\r\n");
    if (head_end == std::string::npos) return Result::kTimeout;
    Message parsed;
    std::istringstream head(text_.substr(0, head_end + 2));
    std::string line;
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    parsed.first_line = line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return Result::kBroken;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
      parsed.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    std::size_t at = head_end + 4;
    if (parsed.field("transfer-encoding") == "chunked") {
      for (;;) {
        const std::size_t end = text_.find("\r\n", at);
        if (end == std::string::npos) return Result::kTimeout;
        const std::size_t size = std::strtoul(text_.c_str() + at, nullptr, 16);
        at = end + 2;
        if (text_.size() < at + size + 2) return Result::kTimeout;
        parsed.body.append(text_, at, size);
        at += size + 2;
        if (size == 0) break;
      }
    } else {
      const std::size_t length = std::strtoul(parsed.field("content-length").c_str(), nullptr, 10);
      if (text_.size() < at + length) return Result::kTimeout;
      parsed.body = text_.substr(at, length);
      at += length;
    }
    text_.erase(0, at);
    message = std::move(parsed);
    return Result::kMessage;
  }

  int fd_;
  std::string text_;
};

inline const char* name_of(Reader::Result result) {
  switch (result) {
    case Reader::Result::kMessage:
      return "answer";
    case Reader::Result::kClosed:
      return "closed without an answer";
    case Reader::Result::kReset:
      return "reset without an answer";
    case Reader::Result::kTimeout:
      return "no answer";
    case Reader::Result::kBroken:
      return "closed within an answer";
  }
  return "?";
}

inline std::string ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ------------------------------------------------------------------------------------------------ server

// A server: one thread a connection, one request at a time on it. The handler gets each complete request and
// writes the response.
class Server {
 public:
  struct Connection {
    int fd;
    std::mutex writing;
    bool send(const std::string& text) {
      const std::lock_guard lock(writing);
      return send_all(fd, text);
    }
  };
  using Handler = std::function<void(const std::shared_ptr<Connection>&, const Message&)>;

  Server(std::string name, Handler handler) : name_(std::move(name)), handler_(std::move(handler)) {
    std::thread([this] { accept(); }).detach();
  }
  const std::string& name() const { return name_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

 private:
  void accept() {
    for (;;) {
      const int fd = listener_.accept();
      if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    // The socket is closed with the last reference: a late second response may still hold one.
    const std::shared_ptr<Connection> connection(new Connection{fd, {}}, [](Connection* closed) {
      ::close(closed->fd);
      delete closed;
    });
    Reader reader(fd);
    for (;;) {
      Message request;
      if (reader.read(request, now() + 3600) != Reader::Result::kMessage) break;
      handler_(connection, request);
    }
    ::shutdown(fd, SHUT_RDWR);
  }

  std::string name_;
  Handler handler_;
  Listener listener_;
};

// ------------------------------------------------------------------------------------------------ discovery

// The agent of discovery for one node: a complete list at the start of each watch, then an empty line every 2
// s.
class Discovery {
 public:
  explicit Discovery(std::vector<std::string> endpoints) : endpoints_(std::move(endpoints)) {
    std::thread([this] {
      for (;;) {
        const int fd = listener_.accept();
        if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  static std::string up(const Server& server, int group) {
    return "{\"name\":\"" + server.name() + "\",\"address\":\"" + server.address() +
           "\",\"zone\":\"akl-dc1\",\"type\":\"sched-std\",\"group\":" + std::to_string(group) +
           ",\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";
  }
  std::string list() const {
    std::string text = "{\"index\":41,\"snapshot\":true,\"endpoints\":[";
    for (std::size_t i = 0; i < endpoints_.size(); ++i) text += (i > 0 ? "," : "") + endpoints_[i];
    return text + "]}";
  }

 private:
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(int fd) const {
    Reader reader(fd);
    Message request;
    if (reader.read(request, now() + 10) == Reader::Result::kMessage) {
      bool open = send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") &&
                  send_all(fd, chunk(list() + "\n"));
      while (open) {
        sleep_for(2);
        open = send_all(fd, chunk("\n"));
      }
    }
    ::close(fd);
  }

  std::vector<std::string> endpoints_;
  Listener listener_;
};

// ------------------------------------------------------------------------------------------------ node

// Settings of a small deployment with short deadlines (parcel-desk of deploy/sites), in the form of WIRE.
inline std::string parcel_desk_settings() {
  return R"({"azs":["akl-dc1"],
 "bounds":{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":0.06,"idleClose":6.0,
  "maxAttempts":3,"maxOpen":20000,"maxRetryAfter":0.5,"peers":false,"probes":true,"retryAfter":true,
  "secondCopies":false,"streamsPerConn":1},
 "categories":[
  {"aim":0.18,"dedupWindow":0.0,"effect":"safe","gain":5.0,"giveUp":0.5,"group":"all","lateWorth":0.2,
   "name":"peek","stream":false},
  {"aim":0.25,"dedupWindow":1.5,"effect":"keyed","gain":3.0,"giveUp":0.7,"group":"cell","lateWorth":0.3,
   "name":"label","stream":false},
  {"aim":0.3,"dedupWindow":1.2,"effect":"keyed","gain":3.0,"giveUp":0.9,"group":"all","lateWorth":0.3,
   "name":"route","stream":false},
  {"aim":0.15,"dedupWindow":0.0,"effect":"safe","gain":2.0,"giveUp":0.45,"group":"all","lateWorth":0.2,
   "name":"weigh","stream":false},
  {"aim":0.3,"dedupWindow":0.0,"effect":"unsafe","gain":4.0,"giveUp":0.8,"group":"all","lateWorth":0.3,
   "name":"pay","stream":false}],
 "clientHabits":{"marksRetry":true},"familyInfo":{"passesDeadline":true},
 "fees":{"connection":0.03,"crossZone":0.0,"handshake":0.01,"lateFail":0.06,"moves":0.0,"origin":0.0,"peer":0.0,
  "probe":0.01,"registryMode":0.0,"waste":0.05},
 "goal":{"whole":0.5,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.3},
 "granularity":0.005,"hostTypes":["sched-std"],
 "loadReport":{"fields":["utilization","throughput","errors_per_s"],"how":"piggyback"},
 "overShareWorth":0.2,"peersTotal":1,"position":0,
 "realms":[{"allowancePerS":950.0,"name":"harbourline","share":0.5},
  {"allowancePerS":850.0,"name":"kowhai-digital","share":0.5}],
 "registryMode":"automatic",
 "rules":{"answerSlack":0.02,"askWithin":10.0,"drainGrace":0.5,"rampTime":8.4,"startCapacity":0.41,
  "tipAfter":2.0,"tipMultiple":4.0},
 "serviceType":"chain","stage":0,"stages":["gateway","scheduler","runner"],"weights":"silent",
 "worthBy":"request","zone":0})";
}
constexpr double kLongestDeadline = 0.9;  // of parcel_desk_settings()

// The node's program as separate process, started from the root with the `run` command of the deploy file.
class Node {
 public:
  Node(const std::string& run_command, const std::string& folder, const std::string& settings,
       const std::string& discovery, const std::string& known, int memory_mb = 192, int sockets = 1024)
      : port_(free_port()), run_(run_command), folder_(folder) {
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    std::ofstream file(config_path());
    file << R"({"name":"n0","listen":")" << listen << R"(","discovery":")" << discovery
         << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << memory_mb
         << R"(,"sockets":)" << sockets << R"(},"known":)" << known << R"(,"settings":)" << settings << "}";
    file.close();
    if (!file) could_not_run("cannot write " + config_path());
    const std::string log = folder + "/node.log";
    ::mkdir((folder + "/tmp").c_str(), 0700);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the node ends with this program, however that ends
      ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
      ::setenv("RELAY_NAME", "n0", 1);
      ::setenv("RELAY_LISTEN", listen.c_str(), 1);
      ::setenv("RELAY_DISCOVERY", discovery.c_str(), 1);
      ::setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    if (pid_ < 0) could_not_run("cannot fork");
    record("node started, process %d, port %u", static_cast<int>(pid_), port_);
  }
  ~Node() { kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string config_path() const { return folder_ + "/config.json"; }

  void await_ready() {
    const double until = now() + 30;
    while (now() < until) {
      const int fd = connect_to(port_);
      if (fd >= 0) {
        send_all(fd, "GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool answered = reader.read(answer, now() + 2) == Reader::Result::kMessage;
        ::close(fd);
        if (answered && answer.status() == 200) {
          record("node is ready");
          return;
        }
      }
      sleep_for(0.05);
    }
    could_not_run("the node was not ready within 30 s");
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether the process has ended by itself.
  bool has_ended() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ < 0;
  }
  void kill() {
    if (has_ended()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::uint16_t port_;
  std::string run_;
  std::string folder_;
  pid_t pid_ = -1;
};

// ------------------------------------------------------------------------------------------------ clients

inline std::string new_id(const char* prefix) {
  static std::atomic<unsigned> next{1};
  char text[40];
  std::snprintf(text, sizeof text, "%s%012x", prefix, next++);
  return text;
}

struct RequestText {
  std::string class_name = "peek";
  std::string id;
  int timeout_ms = 500;
  std::string tenant = "harbourline";
  std::string key;           // empty: none
  long content_length = -1;  // -1: GET without a body
  std::string head() const {
    std::string text = (content_length < 0 ? "GET /" : "POST /") + class_name + "/" + id +
                       " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: " + id +
                       "\r\nX-Priority-Class: " + class_name + "\r\nX-Tenant-Id: " + tenant +
                       "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
    if (content_length >= 0) text += "Content-Length: " + std::to_string(content_length) + "\r\n";
    return text + "\r\n";
  }
};

// Arguments of a case's program: the folder of the case, a temporary folder, and the deploy file's `run`.
struct Arguments {
  std::string case_folder;
  std::string temporary_folder;
  std::string run;
  Arguments(int count, char** values) {
    if (count != 4) {
      std::fprintf(stderr, "usage: %s CASE_FOLDER TEMPORARY_FOLDER RUN_COMMAND\n", values[0]);
      std::exit(kCouldNotRun);
    }
    case_folder = values[1];
    temporary_folder = values[2];
    run = values[3];
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(kMaxSeconds);
    Record::get().open(case_folder + "/record.txt");
    record("disruption: %s", has_trouble() ? "played" : "left out (TROUBLE=0)");
  }
};

// Ends the program at once: threads of stand-ins may still wait.
[[noreturn]] inline void end(Node& node, int result) {
  node.kill();
  record("result: %s", result == kHeld     ? "the rule held"
                       : result == kBroken ? "THE RULE WAS BROKEN"
                                           : "could not run");
  std::printf("%s\n", result == kHeld ? "held" : result == kBroken ? "broken" : "could not run");
  std::fflush(stdout);
  std::_Exit(result);
}

}  // namespace review
