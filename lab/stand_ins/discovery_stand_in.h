// Discovery as nodes see it, by PROTOCOL: what it holds, and an agent on loopback for each node.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "checks/invariant_checker.h"
#include "clock.h"

namespace nettleyoke::lab {

struct Entry {
  std::string name, address, zone, status = "up";  // up, draining or removed
  std::int64_t since_ms = 0;
};

// A list of servers and how it came about.
class RequestCatalog {
 public:
  std::uint64_t index() const { return index_; }
  void set(const Entry& entry);
  const std::map<std::string, Entry>& entries() const { return entries_; }  // the listed ones
  // In discovery's own form.
  std::string snapshot() const;
  // What changed after a version; nothing where that can't be told.
  std::optional<std::string> changes_after(std::uint64_t index) const;
  // Each change after a version.
  std::vector<Entry> since(std::uint64_t index) const;

 private:
  std::uint64_t index_ = 0;
  std::map<std::string, Entry> entries_;
  std::vector<Entry> history_;  // the change that made version i + 1
};

// Answers one node, with what it has been sent.
class Agent {
 public:
  struct Counts {
    std::size_t calls = 0, whole_lists = 0, entries = 0, bytes_in = 0,
                bytes_out = 0;  // `entries`: changes told
  };

  // `node`: its number in the audit. `pushed`: lists count as told once the agent has them.
  Agent(boost::asio::io_context& io, const node::Clock& clock, Audit& audit, std::size_t node, bool pushed);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  const Counts& counts() const { return counts_; }
  std::uint64_t index() const { return catalog_.index(); }

  // Discovery sends it a version. While it is cut off or discovery is down it learns nothing, and has the
  // last version as it is back.
  void send(const RequestCatalog& catalog);
  // Discovery is down: it accepts and says nothing.
  void set_silent(bool silent);
  // Nothing reaches it from discovery; it answers its node.
  void set_cut_off(bool cut_off);
  // It hears of versions so much later.
  void set_delay(double seconds) { delay_ = seconds; }
  void reset_watches();
  // Open watches fall silent for good.
  void stall_watches();

 private:
  class ClientConnection;
  void accept();
  void learn(const RequestCatalog& catalog);
  void beat();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Audit& audit_;
  std::size_t node_;
  bool pushed_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer beat_;
  std::set<std::shared_ptr<ClientConnection>> sessions_;
  RequestCatalog catalog_;                // what it has been sent
  std::optional<RequestCatalog> missed_;  // the last of what it was not
  double delay_ = 0;
  bool silent_ = false, cut_off_ = false;
  Counts counts_;
};

}  // namespace nettleyoke::lab
