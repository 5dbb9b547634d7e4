/// @file
/// The program under test as a child process.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <csignal>
#include <map>
#include <string>

namespace nettleyoke::node {

/// How a node is started beside its configuration.
struct StartOptions {
  rlim_t descriptor_limit = 0;  ///< 0: that of the test
  bool wait_for_start = true;   ///< until it listens
  std::map<std::string, std::string> environment = {};
  int inherited_listener = -1;  ///< becomes NodeProcess::kInheritedListenerFd; -1: none
};

/// Starts the node, and ends it with SIGTERM at the latest when it is destroyed: it then has to exit with 0,
/// which also tells what the sanitizers found. Owns the configuration file and the log.
class NodeProcess {
 public:
  using Environment = std::map<std::string, std::string>;
  static constexpr int kInheritedListenerFd = 7;

  explicit NodeProcess(const std::string& config, const StartOptions& options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  pid_t pid() const { return pid_; }
  /// The port for clients; 0 as long as it does not listen.
  int port() const { return logged_port("listening on 127.0.0.1:"); }
  int admin_port() const { return logged_port("operators at 127.0.0.1:"); }
  /// What the admin server answers to a command.
  std::string admin_command(const std::string& command) const;
  /// Whether the statistics come to show that text.
  bool eventually_reports(const std::string& statistic) const;
  /// The status of a health check on a connection of its own.
  int health_status() const;

  std::string log() const;
  /// How often a text stands in the log.
  int count_in_log(const std::string& text) const;

  void signal(int number) const { ::kill(pid_, number); }
  /// Nothing of it runs until resume(); what comes meanwhile it then finds in the order in which it came.
  void suspend() const;
  void resume() const { signal(SIGCONT); }
  /// Replaces the configuration as a deployment does it and has it read.
  void reload(const std::string& config) const;

  bool is_running();
  /// Waits for its end.
  /// @return the exit status; -1 where it had to be killed or was ended by a signal
  int exit_status();

 private:
  [[noreturn]] void run_program(const StartOptions& options) const;
  int logged_port(const std::string& text_before) const;

  std::string base_path_;
  pid_t pid_ = -1;
  int wait_status_ = 0;
};

}  // namespace nettleyoke::node
