/// @file
/// The set of servers that operators have disabled, shared by the processes of a node.
///
/// Stores the set in a file that outlives the process, and polls the file for changes by another process. The
/// set does not depend on the endpoint list: a server that is not listed can be disabled and stays disabled.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace nettleyoke::node {

class DisabledServers {
 public:
  using ChangeCallback = std::function<void(const std::set<std::string>& servers)>;

  /// The name of the shared file. The name contains the product's former name and must stay, as must the file
  /// format: during a process takeover a process of an earlier build reads and writes the same file.
  static constexpr const char* kFileName = "thymewood-disabled.json";

  /// @param directory the directory of the file; if empty, the set is kept in this process only
  /// @param on_change called with all disabled servers each time the set changes
  DisabledServers(boost::asio::io_context& io, const std::string& directory, ChangeCallback on_change);
  DisabledServers(const DisabledServers&) = delete;
  DisabledServers& operator=(const DisabledServers&) = delete;

  /// The names of the disabled servers.
  const std::set<std::string>& servers() const { return servers_; }
  /// Reads the file, if it exists. A malformed file is logged and ignored.
  void load();
  /// Disables or enables a server for every process of the node. If the file can't be written, the error is
  /// logged and the change applies to this process only.
  void set_disabled(const std::string& server, bool disabled);
  /// Starts polling the file for changes by another process.
  void watch_file();

 private:
  std::optional<std::set<std::string>> read_file() const;
  void write_file() const;
  void replace_servers(std::set<std::string> servers);
  std::string file_version() const;

  std::string file_path_;  // empty: the set is not stored
  ChangeCallback on_change_;
  boost::asio::steady_timer poll_timer_;
  std::set<std::string> servers_;
  std::string last_file_version_;  // file_version() when the file was last read or written
};

}  // namespace nettleyoke::node
