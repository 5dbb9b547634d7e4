#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point started = Clock::now();
std::mutex record_mutex;
std::atomic<pid_t> node_process{-1};
constexpr double kLongestCase = 110;  // s

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

FILE* record_file() {
  static FILE* const file = [] {
    FILE* opened = std::fopen((environment("CASE_FOLDER") + "/record.txt").c_str(), "w");
    return opened == nullptr ? stderr : opened;
  }();
  return file;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int bound_socket(int& port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    cannot_run("no free port");
  }
  port = ntohs(address.sin_port);
  return descriptor;
}

void no_delay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string class_json(const RequestClass& item) {
  std::ostringstream out;
  out << R"({"name":")" << item.name << R"(","effect":")" << item.effect << R"(","aim":)" << item.aim
      << R"(,"giveUp":)" << item.give_up
      << R"(,"group":"all","dedupWindow":5.0,"gain":5.0,"lateWorth":0.2,"stream":false})";
  return out.str();
}

// The settings of the deployment akl-build, as the page on the wire shows them.
std::string settings_json(const std::vector<RequestClass>& classes) {
  std::string text =
      R"({"azs":["akl-dc1"],"bounds":{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,)"
      R"("dialTimeout":0.1,"idleClose":30.0,"maxAttempts":6,"maxOpen":20000,"maxRetryAfter":2.0,)"
      R"("peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},)"
      R"("categories":[)";
  for (std::size_t i = 0; i < classes.size(); ++i) text += (i > 0 ? "," : "") + class_json(classes[i]);
  return text +
         R"(],"clientHabits":{"marksRetry":true},"familyInfo":{"passesDeadline":true},)"
         R"("fees":{"connection":0.03,"crossZone":0.0,"handshake":0.03,"lateFail":0.12,"moves":0.0,"origin":0.0,)"
         R"("peer":0.0,"probe":0.01,"registryMode":0.0,"waste":0.05},)"
         R"("goal":{"whole":0.5,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.3},"granularity":0.005,)"
         R"("hostTypes":["gw-std"],"loadReport":{"fields":[],"how":"silent"},"overShareWorth":0.2,"peersTotal":1,)"
         R"("position":0,"realms":[{"allowancePerS":95.0,"name":"harbourline","share":1.0}],)"
         R"("registryMode":"automatic","rules":{"answerSlack":0.02,"askWithin":10.0,"drainGrace":0.5,)"
         R"("rampTime":8.4,"startCapacity":0.41,"tipAfter":2.0,"tipMultiple":4.0},"serviceType":"chain","stage":0,)"
         R"("stages":["gateway"],"weights":"silent","worthBy":"request","zone":0})";
}

std::string request_head(const char* method, const std::string& request_class, const std::string& id,
                         long timeout_ms) {
  sent_ids().add(id);
  return std::string(method) + " /" + request_class + "?q=" + id +
         " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + request_class +
         "\r\nX-Tenant-Id: harbourline\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
}

}  // namespace

// ---------------------------------------------------------------- the case

double now() { return std::chrono::duration<double>(Clock::now() - started).count(); }

void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleep_until(double time) { sleep_for(time - now()); }

bool has_trouble() { return environment("TROUBLE") != "0"; }

void record(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::lock_guard<std::mutex> lock(record_mutex);
  std::fprintf(record_file(), "%8.3f  %s\n", now(), text);
  std::fflush(record_file());
  std::printf("%8.3f  %s\n", now(), text);
  std::fflush(stdout);
}

void cannot_run(const std::string& reason) {
  record("could not run: %s", reason.c_str());
  if (node_process > 0) ::kill(node_process, SIGKILL);
  std::_Exit(2);
}

void finish(bool broken, const std::string& text) {
  record("%s: %s", broken ? "BROKEN" : "held", text.c_str());
  const pid_t process = node_process;
  if (process > 0 && ::kill(process, SIGKILL) == 0) ::waitpid(process, nullptr, 0);
  std::_Exit(broken ? 1 : 0);
}

std::string Head::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

// ---------------------------------------------------------------- connections

bool Connection::send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::read_some(double until) {
  const double wait = std::max(0.0, until - now());
  pollfd state{descriptor_, POLLIN, 0};
  const int ready = ::poll(&state, 1, static_cast<int>(wait * 1000) + 1);
  if (ready < 0 && errno == EINTR) return true;
  if (ready <= 0) {
    end_ = End::kTimeout;
    return false;
  }
  char bytes[16384];
  const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (count < 0 && errno == EINTR) return true;
  if (count <= 0) {
    end_ = count == 0 ? End::kClosed : End::kReset;
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::read_head(Head& head, double until) {
  head = {};
  std::size_t length = 0;
  while ((length = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!read_some(until)) return false;
  }
  std::istringstream lines(buffer_.substr(0, length));
  buffer_.erase(0, length + 4);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    head.fields[lower(line.substr(0, colon))] = line.substr(value);
  }
  return true;
}

bool Connection::read_bytes(std::string& body, std::size_t size, double until) {
  while (body.size() < size) {
    if (buffer_.empty() && !read_some(until)) return false;
    const std::size_t count = std::min(buffer_.size(), size - body.size());
    body.append(buffer_, 0, count);
    buffer_.erase(0, count);
  }
  return true;
}

bool Connection::read_line(std::string& line, double until) {
  std::size_t length = 0;
  while ((length = buffer_.find("\r\n")) == std::string::npos) {
    if (!read_some(until)) return false;
  }
  line = buffer_.substr(0, length);
  buffer_.erase(0, length + 2);
  return true;
}

bool Connection::read_chunked(std::string& body, double until) {
  std::string line;
  while (read_line(line, until)) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size > 0 && !read_bytes(body, body.size() + size, until)) return false;
    if (!read_line(line, until)) return false;
    if (size == 0) return true;  // the stand-ins send no trailers
  }
  return false;
}

bool Connection::read_until_close(std::string& body, double until) {
  do {
    body += buffer_;
    buffer_.clear();
  } while (read_some(until));
  return end_ == End::kClosed;
}

void Connection::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void Connection::reset() {
  const linger option{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close();
}

Listener::Listener(std::function<void(Connection&)> serve) : serve_(std::move(serve)) {
  descriptor_ = bound_socket(port_);
  if (::listen(descriptor_, 1024) != 0) cannot_run("cannot listen");
  // The threads end with the process.
  std::thread([this] {
    for (;;) {
      const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        if (errno == EBADF || errno == EINVAL) return;
        continue;
      }
      no_delay(accepted);
      std::thread([this, accepted] {
        Connection connection(accepted);
        serve_(connection);
      }).detach();
    }
  }).detach();
}

Listener::~Listener() { ::shutdown(descriptor_, SHUT_RDWR); }

int free_port() {
  int port = 0;
  ::close(bound_socket(port));
  return port;
}

int connect_to(int port, int receive_buffer) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  const sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    cannot_run("cannot connect to the node");
  }
  no_delay(descriptor);
  return descriptor;
}

// ---------------------------------------------------------------- servers

void SentIds::add(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ids_[id] = true;
}

bool SentIds::contains(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ids_.count(id) > 0;
}

SentIds& sent_ids() {
  static SentIds* const ids = new SentIds;
  return *ids;
}

std::string body_for(const std::string& server, const std::string& id) {
  return "answer of " + server + " to " + id + "\n";
}

std::string ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(std::string name, Handler handler)
    : name_(std::move(name)), handler_(std::move(handler)), listener_([this](Connection& c) { serve(c); }) {}

std::vector<Request> Server::requests() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void Server::serve(Connection& connection) {
  Head head;
  while (connection.read_head(head, now() + 60)) {
    Request request;
    std::istringstream line(head.first_line);
    line >> request.method >> request.target;
    request.id = head.field("x-request-id");
    request.timeout_ms = std::atol(head.field("x-timeout-ms").c_str());
    const std::string length = head.field("content-length");
    if (!length.empty() &&
        !connection.read_bytes(request.body, std::strtoul(length.c_str(), nullptr, 10), now() + 60)) {
      return;
    }
    if (head.field("transfer-encoding") == "chunked" && !connection.read_chunked(request.body, now() + 60))
      return;
    request.arrived_at = now();
    if (request.target == "/ping" && request.id.empty()) {
      if (!connection.send(ok_response("ok\n"))) return;
      continue;
    }
    if (!sent_ids().contains(request.id)) {
      record("%s: request with the id '%s' that no client sent", name_.c_str(), request.id.c_str());
      const char* const status = request.id.empty() ? "404 Not Found" : "400 Bad Request";
      if (!connection.send(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n")) return;
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    record("%s: got %s %s id %s, X-Timeout-Ms %ld", name_.c_str(), request.method.c_str(),
           request.target.c_str(), request.id.c_str(), request.timeout_ms);
    if (!handler_(connection, request)) return;
  }
}

// ---------------------------------------------------------------- discovery

Agent::Agent(const std::vector<Server*>& servers, double answer_delay)
    : answer_delay_(answer_delay), listener_([this](Connection& c) { serve(c); }) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Server* server : servers) endpoints_.push_back({server->name(), server->address(), "up"});
}

std::string Agent::entry(const Endpoint& endpoint) const {
  return R"({"name":")" + endpoint.name + R"(","address":")" + endpoint.address +
         R"(","zone":"akl-dc1","type":"gw-std","group":0,"status":")" + endpoint.status +
         R"(","weight":1.0,"since_ms":0})";
}

std::string Agent::list() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string entries;
  for (const Endpoint& endpoint : endpoints_) entries += (entries.empty() ? "" : ",") + entry(endpoint);
  return R"({"index":)" + std::to_string(41 + changed_.size()) + R"(,"snapshot":true,"endpoints":[)" +
         entries + "]}";
}

void Agent::drain(const std::string& server) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.name != server) continue;
    endpoint.status = "draining";
    changed_.push_back(endpoint);
  }
  record("discovery: %s is draining", server.c_str());
}

// The latest change.
std::string Agent::changes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return R"({"index":)" + std::to_string(41 + changed_.size()) + R"(,"snapshot":false,"endpoints":[)" +
         entry(changed_.back()) + "]}";
}

void Agent::serve(Connection& connection) {
  Head head;
  while (connection.read_head(head, now() + 60)) {
    const double called_at = now();
    sleep_for(answer_delay_);
    if (answer_delay_ > 0) {
      connection.read_some(now());
      record("discovery: answers %s after %.1f s%s", head.first_line.c_str(), now() - called_at,
             connection.end() == Connection::End::kTimeout ? "" : ": the node has gone");
    }
    if (head.first_line.find("watch=1") != std::string::npos) return serve_watch(connection);
    if (!connection.send(ok_response(list() + "\n"))) return;
  }
}

void Agent::serve_watch(Connection& connection) {
  const auto chunk = [](const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  };
  const auto version = [this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return changed_.size();
  };
  std::size_t told = version();
  if (!connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list() + "\n")))
    return;
  double last_line_at = now();
  for (;;) {
    connection.read_some(now() + 0.05);
    if (connection.end() != Connection::End::kTimeout) return;
    const bool has_changed = version() > told;
    if (!has_changed && now() < last_line_at + 2) continue;
    if (!connection.send(chunk(has_changed ? changes() + "\n" : "\n"))) return;
    told += has_changed ? 1 : 0;
    last_line_at = now();
  }
}

// ---------------------------------------------------------------- the node

Node::Node(Agent& agent, const std::vector<RequestClass>& classes) : port_(free_port()) {
  const std::string folder = environment("CASE_SCRATCH");
  const std::string listen = "127.0.0.1:" + std::to_string(port_);
  const std::string config_path = folder + "/config.json";
  std::ofstream config(config_path);
  config << R"({"name":"n0","listen":")" << listen << R"(","discovery":")" << agent.address()
         << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)"
         << agent.list() << R"(,"settings":)" << settings_json(classes) << "}\n";
  config.close();
  if (!config) cannot_run("cannot write the configuration");
  const std::string command = environment("NODE_COMMAND");
  const std::string root = environment("PROJECT_ROOT");
  const std::string log = folder + "/node.log";
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, 1);
    ::dup2(output, 2);
    ::setenv("RELAY_NAME", "n0", 1);
    ::setenv("RELAY_LISTEN", listen.c_str(), 1);
    ::setenv("RELAY_DISCOVERY", agent.address().c_str(), 1);
    ::setenv("RELAY_CONFIG", config_path.c_str(), 1);
    ::setenv("TMPDIR", folder.c_str(), 1);
    if (::chdir(root.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    std::_Exit(127);
  }
  if (process_ < 0) cannot_run("cannot start the node");
  node_process = process_;
  std::thread([] {
    sleep_until(kLongestCase);
    cannot_run("the case takes too long");
  }).detach();
  await_health();
}

void Node::await_health() {
  while (now() < 30) {
    if (has_exited()) cannot_run("the node has exited at its start");
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(descriptor);
    const sockaddr_in address = loopback(port_);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      connection.send("GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
      if (read_answer(connection, now() + 1).status == 200) {
        record("node: ready on port %d", port_);
        return;
      }
    }
    sleep_for(0.02);
  }
  cannot_run("the node is not ready after 30 s");
}

void Node::signal(int number) {
  record("node: gets signal %d", number);
  ::kill(process_, number);
}

bool Node::has_exited() {
  if (process_ <= 0) return true;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) return false;
  record("node: has ended, %s %d", WIFEXITED(status) ? "exit code" : "signal",
         WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
  process_ = -1;
  node_process = -1;
  return true;
}

Node::~Node() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  node_process = -1;
}

// ---------------------------------------------------------------- clients

const char* name_of(Connection::End end) {
  switch (end) {
    case Connection::End::kNone:
      return "open";
    case Connection::End::kClosed:
      return "closed by the node";
    case Connection::End::kReset:
      return "reset by the node";
    case Connection::End::kTimeout:
      return "open and silent";
  }
  return "";
}

std::string new_id() {
  static std::atomic<unsigned> count{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
  return text;
}

std::string get_request(const std::string& request_class, const std::string& id, long timeout_ms) {
  return request_head("GET", request_class, id, timeout_ms) + "\r\n";
}

std::string post_request(const std::string& request_class, const std::string& id, long timeout_ms) {
  const std::string body = "order " + id + "\n";
  return request_head("POST", request_class, id, timeout_ms) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Answer read_answer(Connection& connection, double until) {
  Answer answer;
  Head head;
  if (connection.read_head(head, until)) {
    answer.status =
        std::atoi(head.first_line.substr(std::min<std::size_t>(9, head.first_line.size())).c_str());
    answer.is_last = lower(head.field("connection")) == "close";
    const std::string length = head.field("content-length");
    if (lower(head.field("transfer-encoding")) == "chunked") {
      answer.is_whole = connection.read_chunked(answer.body, until);
    } else if (!length.empty()) {
      answer.is_whole = connection.read_bytes(answer.body, std::strtoul(length.c_str(), nullptr, 10), until);
    } else {
      answer.is_whole = connection.read_until_close(answer.body, until);
    }
  }
  answer.ended_at = now();
  answer.end = answer.is_whole ? Connection::End::kNone : connection.end();
  return answer;
}

}  // namespace review
