#include "nodes/real_node.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "clock.h"
#include "discovery/discovery_client.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kStartupPollInterval{20};
constexpr double kHealthCheckTimeoutSeconds = 2;
constexpr int kCannotExecute = 127;  // exit status of a shell that cannot execute a program

constexpr const char* kHealthTarget = "/_health";
// The text before each address in the node's log.
constexpr const char* kListenerLabel = "listening on ";
constexpr const char* kAdminLabel = "operators at ";

}  // namespace

RealNode::RealNode(asio::io_context& io, InvariantChecker& checker, Options options)
    : io_(io), checker_(checker), options_(std::move(options)), timer_(io) {}

RealNode::~RealNode() {
  if (has_exited()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &exit_status_, 0);
}

std::string RealNode::file(const std::string& extension) const {
  return options_.folder + "/" + options_.name + extension;
}

void RealNode::start(const std::string& config, std::function<void()> on_ready) {
  // These are built before the fork, because the child must not allocate memory.
  const std::string config_file = file(".json");
  const std::string log_file = file(".log");
  std::ofstream(config_file) << config;
  on_ready_ = std::move(on_ready);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw NodeStartError("cannot start the process of node " + options_.name + ": fork() failed");
  if (pid_ == 0) {
    // The kernel kills the node when the lab process dies.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kCannotExecute);
    execute_program(config_file, log_file);
  }
  poll_until_listening();
}

void RealNode::execute_program(const std::string& config_file, const std::string& log_file) const {
  const int out = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  // Close inherited descriptors: a stand-in's listener that the child also holds would keep accepting
  // connections after the stand-in has crashed.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  const rlimit descriptors{options_.descriptors, options_.descriptors};
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
  ::setenv("RELAY_CONFIG", config_file.c_str(), 1);
  for (const char* variable : {"TMPDIR", "RELAY_OPS", "RELAY_LISTEN_FD"}) ::unsetenv(variable);
  ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
  ::_exit(kCannotExecute);
}

void RealNode::poll_until_listening() {
  timer_.expires_after(kStartupPollInterval);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled || has_exited()) return;
    const auto listener = logged_endpoint(kListenerLabel);
    if (!listener) return poll_until_listening();
    if (!client_) client_ = std::make_unique<HttpClient>(io_, *listener);
    check_health();
  });
}

void RealNode::check_health() {
  HttpClient::Request request;
  request.target = kHealthTarget;
  client_->call(request, kHealthCheckTimeoutSeconds, [this](const HttpClient::Response& response) {
    if (response.status != 200) return poll_until_listening();
    if (on_ready_) std::exchange(on_ready_, nullptr)();
  });
}

void RealNode::shut_down() {
  if (!has_exited()) ::kill(pid_, SIGTERM);
}

bool RealNode::has_exited() {
  if (pid_ <= 0) return true;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  pid_ = -1;
  return true;
}

RealNode::Usage RealNode::usage() const {
  Usage usage;
  if (pid_ <= 0) return usage;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return usage;
  std::istringstream fields(text.substr(name_end + 1));
  // Fields of proc(5): 14 and 15 are the clock ticks in user and system mode, 24 is the number of resident
  // pages.
  constexpr int kFirstField = 3;
  constexpr int kUserTicksField = 14;
  constexpr int kResidentPagesField = 24;
  std::string skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  for (int field = kFirstField; field < kUserTicksField; ++field) fields >> skipped;
  fields >> user_ticks >> system_ticks;
  for (int field = kUserTicksField + 2; field < kResidentPagesField; ++field) fields >> skipped;
  std::size_t pages = 0;
  fields >> pages;
  usage.cpu = (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  usage.memory = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return usage;
}

std::string RealNode::log() const {
  std::ifstream in(file(".log"));
  return {std::istreambuf_iterator<char>(in), {}};
}

std::optional<Tcp::endpoint> RealNode::admin_endpoint() const { return logged_endpoint(kAdminLabel); }

std::optional<Tcp::endpoint> RealNode::logged_endpoint(const std::string& label) const {
  const std::string text = log();
  const std::size_t at = text.find(label);
  const std::size_t line_end = text.find('\n', at);
  if (at == std::string::npos || line_end == std::string::npos) return std::nullopt;
  const std::size_t begin = at + label.size();
  return node::parse_endpoint(std::string_view(text).substr(begin, line_end - begin));
}

void RealNode::call(const Call& call, std::function<void(CallOutcome)> on_ended) {
  HttpClient::Request request;
  request.id = call.id;
  request.request_class = call.request_class;
  request.tenant = call.tenant;
  request.idempotency_key = call.idempotency_key;
  request.timeout = call.timeout;
  request.is_post = call.is_post;
  request.is_retry = call.is_retry;
  const double client_timeout =
      call.disconnect_after > 0 ? call.disconnect_after : checker_.response_deadline(0, call.timeout);
  client_->call(request, client_timeout,
                [this, call, on_ended = std::move(on_ended)](const HttpClient::Response& response) {
                  on_ended(outcome_of(call, response));
                });
}

CallOutcome RealNode::outcome_of(const Call& call, const HttpClient::Response& response) {
  switch (response.kind) {
    case HttpClient::Response::Kind::kConnectFailed:
      return CallOutcome::kFailed;
    case HttpClient::Response::Kind::kConnectionClosed:
      return CallOutcome::kConnectionClosed;
    case HttpClient::Response::Kind::kTimedOut:
      return call.disconnect_after > 0 ? CallOutcome::kClientDisconnected : CallOutcome::kUnanswered;
    case HttpClient::Response::Kind::kReceived:
      break;
  }
  if (response.status == 429 || response.status == 503) return CallOutcome::kRejected;
  if (response.status != 200) return CallOutcome::kFailed;
  // A server's response starts with the request id.
  if (!response.body.starts_with(call.id)) {
    checker_.add_violation(
        Rule::kOneFinalAnswer,
        "call " + call.id + " got status 200 with a body that does not start with its request id");
  }
  return CallOutcome::kServed;
}

}  // namespace nettleyoke::lab
