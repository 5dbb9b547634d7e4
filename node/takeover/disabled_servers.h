/// The servers that operators have disabled, shared by the processes of a node.
///
/// Owns the file that outlives a process and the watch on it. It knows no endpoint list: a server that isn't
/// listed may be disabled, and stays so.
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
  using Changed = std::function<void(const std::set<std::string>& servers)>;

  /// The name of the shared file. It keeps the product's former name, and the file its form: in a takeover
  /// the process of an earlier build and that of this one read and write it side by side.
  static constexpr const char* kFileName = "thymewood-disabled.json";

  /// @param directory where the file lies; empty to keep the servers in this process alone.
  /// @param changed called with all disabled servers, each time they have become others.
  DisabledServers(boost::asio::io_context& io, const std::string& directory, Changed changed);
  DisabledServers(const DisabledServers&) = delete;
  DisabledServers& operator=(const DisabledServers&) = delete;

  /// The servers' names.
  const std::set<std::string>& servers() const { return servers_; }
  /// Reads what another process has written, if anything. A file that can't be used is left aside with a line
  /// in the log.
  void load();
  /// Disables a server, or enables it, for every process of the node. Where the file can't be written, a line
  /// in the log says so and the change holds in this process alone.
  void set_disabled(const std::string& server, bool disabled);
  /// From now on also follows what another process writes.
  void watch_file();

 private:
  std::optional<std::set<std::string>> read_file() const;
  void write_file() const;
  void adopt(std::set<std::string> servers);
  std::string file_version() const;

  std::string file_;  // empty: none
  Changed changed_;
  boost::asio::steady_timer poll_timer_;
  std::set<std::string> servers_;
  std::string seen_version_;  // of the file, when it was last read or written
};

}  // namespace nettleyoke::node
