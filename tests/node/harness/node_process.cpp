#include "harness/node_process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "harness/connection.h"
#include "harness/http_text.h"

namespace nettleyoke::node {

StartOptions options_with_inherited_listener(const FileDescriptor& listener) {
  StartOptions options;
  options.environment = {{"RELAY_LISTEN_FD", std::to_string(NodeProcess::kInheritedListenerFd)}};
  options.inherited_listener = listener.get();
  return options;
}

NodeProcess::NodeProcess(const std::string& config, const StartOptions& options) {
  static std::atomic<int> count = 0;
  base_path_ = testing::TempDir() + "/node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
  std::ofstream(base_path_ + ".json") << config;
  pid_ = ::fork();
  if (pid_ == 0) run_program(options);
  if (options.wait_for_start) {
    EXPECT_TRUE(eventually([this] { return port() != 0; })) << log();
  }
}

void NodeProcess::run_program(const StartOptions& options) const {
  const std::string config_path = base_path_ + ".json";
  const int log = ::open((base_path_ + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("RELAY_CONFIG", config_path.c_str(), 1);
  ::unsetenv("TMPDIR");
  for (const auto& [name, value] : options.environment) ::setenv(name.c_str(), value.c_str(), 1);
  // dup2() of a descriptor onto itself keeps its close-on-exec flag, so the flag is cleared here.
  if (options.inherited_listener >= 0 &&
      ::dup2(options.inherited_listener, kInheritedListenerFd) == kInheritedListenerFd) {
    ::fcntl(kInheritedListenerFd, F_SETFD, 0);
  }
  if (options.descriptor_limit > 0) {
    const rlimit limit{options.descriptor_limit, options.descriptor_limit};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ::execl(NODE_PROGRAM, NODE_PROGRAM, nullptr);
  ::_exit(127);
}

NodeProcess::~NodeProcess() {
  if (pid_ > 0) {
    ::kill(pid_, SIGTERM);
    EXPECT_EQ(exit_status(), 0) << log();
  }
  if (testing::Test::HasFailure()) std::fputs(log().c_str(), stderr);
  std::remove((base_path_ + ".json").c_str());
  std::remove((base_path_ + ".log").c_str());
}

std::string NodeProcess::admin_command(const std::string& command) const {
  Connection connection = Connection::to(admin_port());
  connection.write(command + "\n");
  return connection.read_to_end();
}

bool NodeProcess::eventually_reports(const std::string& statistic) const {
  return eventually([&] { return admin_command("STATS").find(statistic) != std::string::npos; });
}

int NodeProcess::health_status() const {
  Connection connection = Connection::to(port());
  connection.write(kHealthRequest);
  return status_of(connection.read_message());
}

std::string NodeProcess::log() const {
  const std::ifstream in(base_path_ + ".log");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

int NodeProcess::count_in_log(const std::string& text) const {
  const std::string all = log();
  int count = 0;
  for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) ++count;
  return count;
}

void NodeProcess::suspend() const {
  signal(SIGSTOP);
  int status = 0;
  EXPECT_EQ(::waitpid(pid_, &status, WUNTRACED), pid_);
}

void NodeProcess::reload(const std::string& config) const {
  std::ofstream(base_path_ + ".new") << config;
  std::rename((base_path_ + ".new").c_str(), (base_path_ + ".json").c_str());
  signal(SIGHUP);
}

bool NodeProcess::is_running() {
  if (pid_ > 0 && ::waitpid(pid_, &wait_status_, WNOHANG) == pid_) pid_ = -1;
  return pid_ > 0;
}

int NodeProcess::exit_status() {
  if (!eventually([this] { return !is_running(); })) {
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), &wait_status_, 0);
  }
  return WIFEXITED(wait_status_) ? WEXITSTATUS(wait_status_) : -1;
}

int NodeProcess::logged_port(const std::string& prefix) const {
  const std::string text = log();
  const std::size_t at = text.find(prefix);
  if (at == std::string::npos || text.find('\n', at) == std::string::npos) return 0;
  return std::stoi(text.substr(at + prefix.size()));
}

}  // namespace nettleyoke::node
