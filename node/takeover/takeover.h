// What two processes of one node share while one takes over from the other: the clients' listening socket,
// and which servers operators have taken out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace nettleyoke::node {

// The listening socket that RELAY_LISTEN_FD names; nothing where that is not set. Throws std::runtime_error
// where it names something else.
std::optional<int> inherited_listener(const char* text);

// The servers that are out by hand, in a file that outlives a process. Without a directory they live in this
// process alone.
class DisabledServers {
 public:
  using Changed = std::function<void(const std::set<std::string>&)>;

  DisabledServers(boost::asio::io_context& io, std::string directory, Changed changed);
  DisabledServers(const DisabledServers&) = delete;
  DisabledServers& operator=(const DisabledServers&) = delete;

  const std::set<std::string>& servers() const { return out_; }
  // Reads what an earlier process left, if anything.
  void load();
  // Takes a server out, or puts it back, for every process of the node.
  void set_disabled(const std::string& server, bool out);
  // From now on hears of what another process changes.
  void watch_file();

 private:
  bool read(std::set<std::string>& out);
  void write() const;
  void adopt(std::set<std::string> out);
  std::string stamp() const;

  std::string file_;  // empty: none
  Changed changed_;
  boost::asio::steady_timer timer_;
  std::set<std::string> out_;
  std::string seen_;  // what tells one writing of the file from the next
};

}  // namespace nettleyoke::node
