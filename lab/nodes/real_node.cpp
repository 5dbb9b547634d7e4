#include "nodes/real_node.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "clock.h"
#include "discovery/discovery_client.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using node::Clock;
using tcp = asio::ip::tcp;

constexpr double kLook = 0.02;   // s between looks at a node that starts
constexpr double kPatience = 2;  // s for an answer of an operators' line, or on its health
constexpr int kNoProgram = 127;  // as a shell has it

// Keeps itself alive until the line has answered or the time is up.
class OperatorsCall : public std::enable_shared_from_this<OperatorsCall> {
 public:
  OperatorsCall(asio::io_context& io, std::string line, std::function<void(std::string)> done)
      : socket_(io), timer_(io), line_(std::move(line) + "\n"), done_(std::move(done)) {}

  void start(const tcp::endpoint& where) {
    timer_.expires_after(Clock::span(kPatience));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      error_code ignored;
      if (!cancelled) self->socket_.close(ignored);
    });
    socket_.async_connect(where, [self = shared_from_this()](error_code bad) {
      if (bad) return self->end("");
      asio::async_write(self->socket_, asio::buffer(self->line_), [self](error_code failed, std::size_t) {
        if (failed) return self->end("");
        asio::async_read(self->socket_, self->answer_, [self](error_code, std::size_t) {
          std::ostringstream out;
          out << &self->answer_;
          self->end(out.str());
        });
      });
    });
  }

 private:
  void end(const std::string& answer) {
    timer_.cancel();
    done_(answer);
  }
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf answer_;
  std::string line_;
  std::function<void(std::string)> done_;
};

}  // namespace

void call_operators(asio::io_context& io, const tcp::endpoint& where, const std::string& line,
                    std::function<void(std::string)> done) {
  std::make_shared<OperatorsCall>(io, line, std::move(done))->start(where);
}

RealNode::RealNode(asio::io_context& io, Audit& audit, Place place)
    : io_(io), audit_(audit), place_(std::move(place)), timer_(io) {}

RealNode::~RealNode() {
  if (has_ended()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

void RealNode::start(const std::string& config, std::function<void()> ready) {
  const std::string base = place_.folder + "/" + place_.name;
  const std::string file = base + ".json", log = base + ".log";
  std::ofstream(file) << config;
  ready_ = std::move(ready);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("no process for " + place_.name);
  if (pid_ == 0) {
    // A lab that is killed leaves nothing behind.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kNoProgram);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    // Danger: a listener that a child holds too would go on after its server has crashed.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    const rlimit descriptors{place_.sockets, place_.sockets};
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::setenv("RELAY_CONFIG", file.c_str(), 1);
    for (const char* other : {"TMPDIR", "RELAY_OPS", "RELAY_LISTEN_FD"}) ::unsetenv(other);
    ::execl(place_.program.c_str(), place_.program.c_str(), nullptr);
    ::_exit(kNoProgram);
  }
  look();
}

void RealNode::look() {
  timer_.expires_after(Clock::span(kLook));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled || has_ended()) return;
    const auto where = logged("listening on ");
    if (!where) return look();
    if (!client_) client_ = std::make_unique<Client>(io_, *where);
    ask_health();
  });
}

void RealNode::ask_health() {
  Client::Message message;
  message.target = "/_health";
  client_->call(message, kPatience, [this](const Client::Result& result) {
    if (result.status != 200) return look();
    if (ready_) std::exchange(ready_, nullptr)();
  });
}

void RealNode::end() {
  if (!has_ended()) ::kill(pid_, SIGTERM);
}

bool RealNode::has_ended() {
  if (pid_ <= 0) return true;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  pid_ = -1;
  return true;
}

RealNode::Usage RealNode::usage() const {
  Usage out;
  if (pid_ <= 0) return out;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text{std::istreambuf_iterator<char>(file), {}};
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return out;
  std::istringstream in(text.substr(name_end + 1));
  // By proc(5): fields 14, 15 are the ticks in user and system mode, 24 the resident pages.
  std::string skipped;
  constexpr int kUser = 14, kResident = 24, kFirst = 3;
  double user = 0, system = 0;
  for (int i = kFirst; i < kUser; ++i) in >> skipped;
  in >> user >> system;
  for (int i = kUser + 2; i < kResident; ++i) in >> skipped;
  std::size_t pages = 0;
  in >> pages;
  out.cpu = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  out.memory = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return out;
}

std::string RealNode::log() const {
  std::ifstream in(place_.folder + "/" + place_.name + ".log");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::optional<tcp::endpoint> RealNode::operators() const { return logged("operators at "); }

std::optional<tcp::endpoint> RealNode::logged(const std::string& before) const {
  const std::string text = log();
  const std::size_t at = text.find(before);
  const std::size_t end = text.find('\n', at);
  if (at == std::string::npos || end == std::string::npos) return std::nullopt;
  return node::parse_endpoint(std::string_view(text).substr(at + before.size(), end - at - before.size()));
}

void RealNode::call(const Call& call, std::function<void(Ending)> ended) {
  Client::Message message;
  message.id = call.id;
  message.request_class = call.request_class;
  message.tenant = call.tenant;
  message.key = call.key;
  message.time = call.time;
  message.is_post = call.is_post;
  message.is_retry = call.is_retry;
  const double latest = audit_.latest_answer(0, call.time);
  const bool leaves = call.leave_after > 0;
  client_->call(message, leaves ? call.leave_after : latest,
                [this, id = call.id, leaves, ended = std::move(ended)](const Client::Result& result) {
                  switch (result.kind) {
                    case Client::Result::Kind::kNotConnected:
                      return ended(Ending::kFailed);
                    case Client::Result::Kind::kClosed:
                      return ended(Ending::kClosed);
                    case Client::Result::Kind::kGivenUp:
                      return ended(leaves ? Ending::kLeft : Ending::kLost);
                    case Client::Result::Kind::kAnswered:
                      break;
                  }
                  if (result.status == 429 || result.status == 503) return ended(Ending::kRefused);
                  if (result.status != 200) return ended(Ending::kFailed);
                  // A server's answer begins with the id of its request.
                  if (result.body.compare(0, id.size(), id) != 0) {
                    audit_.broken("answer", id + " was served with what no server made for it");
                  }
                  ended(Ending::kServed);
                });
}

}  // namespace nettleyoke::lab
