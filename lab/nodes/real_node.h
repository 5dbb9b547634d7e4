// A real node: the built program as a child process, started and ended as DEPLOY has it.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "checks/invariant_checker.h"
#include "load/http_client.h"
#include "nodes/node_under_test.h"

namespace nettleyoke::lab {

// One call on an operators' line; `done` gets what was answered, or nothing after two seconds.
void call_operators(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& where,
                    const std::string& line, std::function<void(std::string)> done);

class RealNode : public PlayedNode {
 public:
  struct Place {
    std::string program, folder;  // the node's files are kept in the folder
    std::string name, zone;
    std::size_t number = 0;     // in the audit
    std::size_t sockets = 512;  // descriptors that it may hold
  };
  RealNode(boost::asio::io_context& io, Audit& audit, Place place);
  ~RealNode() override;  // kills what still runs

  const char* kind() const override { return "real"; }
  std::size_t number() const override { return place_.number; }
  const std::string& zone() const override { return place_.zone; }
  // Throws std::runtime_error when there can be no process.
  void start(const std::string& config, std::function<void()> ready) override;
  void call(const Call& call, std::function<void(Ending)> ended) override;
  void end() override;
  bool has_ended() override;
  int status() const override { return status_; }
  Usage usage() const override;
  std::optional<boost::asio::ip::tcp::endpoint> operators() const override;
  std::string log() const override;
  std::size_t stray_answers() const override { return client_ ? client_->stray_answers() : 0; }
  std::optional<std::uint64_t> list_index() const override { return std::nullopt; }

  // For calls of servers that stand before it, beside those of callers.
  Client& client() { return *client_; }

 private:
  void look();
  void ask_health();
  std::optional<boost::asio::ip::tcp::endpoint> logged(const std::string& before) const;

  boost::asio::io_context& io_;
  Audit& audit_;
  Place place_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Client> client_;
  std::function<void()> ready_;
  pid_t pid_ = -1;
  int status_ = 0;
};

}  // namespace nettleyoke::lab
