/// @file
/// The node as a child process of the test.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <csignal>
#include <map>
#include <string>

#include "harness/file_descriptor.h"

namespace nettleyoke::node {

/// Options of a node's start that are not part of its configuration.
struct StartOptions {
  rlim_t descriptor_limit = 0;  ///< 0: the limit of the test process
  bool wait_for_start = true;   ///< wait until the node listens
  std::map<std::string, std::string> environment = {};
  int inherited_listener = -1;  ///< becomes NodeProcess::kInheritedListenerFd; -1: none
};

/// Options of a node that takes part in a takeover: it serves on a listening socket of the platform.
StartOptions options_with_inherited_listener(const FileDescriptor& listener);

/// Starts a node. The destructor sends SIGTERM to a node that still runs and expects exit status 0; a
/// sanitizer that found an error causes another status. Owns the configuration file and the log.
class NodeProcess {
 public:
  using Environment = std::map<std::string, std::string>;
  static constexpr int kInheritedListenerFd = 7;

  explicit NodeProcess(const std::string& config, const StartOptions& options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  pid_t pid() const { return pid_; }
  /// The port for clients; 0 until the node listens.
  int port() const { return logged_port("listening on 127.0.0.1:"); }
  int admin_port() const { return logged_port("operators at 127.0.0.1:"); }
  /// Sends a command to the admin server.
  /// @return the response
  std::string admin_command(const std::string& command) const;
  /// Waits until the response to STATS contains `statistic`.
  /// @return whether it did within kWaitLimit
  bool eventually_reports(const std::string& statistic) const;
  /// Sends a health check on a new connection.
  /// @return the status of the response
  int health_status() const;

  std::string log() const;
  /// @return the number of occurrences of `text` in the log
  int count_in_log(const std::string& text) const;

  void signal(int number) const { ::kill(pid_, number); }
  /// Stops the node's process until resume(). Input that arrives meanwhile is queued in the order of arrival.
  void suspend() const;
  void resume() const { signal(SIGCONT); }
  /// Replaces the configuration file by a rename, as a deployment does, and sends SIGHUP.
  void reload(const std::string& config) const;

  bool is_running();
  /// Waits until the process ends, and kills it after kWaitLimit.
  /// @return the exit status; -1 if it was ended by a signal
  int exit_status();

 private:
  [[noreturn]] void run_program(const StartOptions& options) const;
  /// @param prefix  the text before the port in the log
  /// @return 0 if the log has no complete line with the prefix
  int logged_port(const std::string& prefix) const;

  std::string base_path_;
  pid_t pid_ = -1;
  int wait_status_ = 0;
};

}  // namespace nettleyoke::node
