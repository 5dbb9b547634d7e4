#include "admin/admin_server.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "admin/admin_command.h"

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The pause after a failed accept.
constexpr std::chrono::milliseconds kAcceptPause{20};

// Executes a command and returns the reply.
struct CommandHandler {
  const AdminServer::Handlers& handlers;

  std::string operator()(const ReadyCommand&) const {
    return handlers.is_ready() ? format_yes() : format_no("not ready");
  }
  std::string operator()(const StatsCommand&) const { return format_stats(handlers.stats()); }
  std::string operator()(const SetServerCommand& command) const {
    const std::string error = handlers.set_server_enabled(command.server, command.enable);
    return error.empty() ? format_yes() : format_no(error);
  }
  std::string operator()(const MalformedCommand& command) const { return format_no(command.reason); }
};

}  // namespace

AdminServer::AdminServer(asio::io_context& io, Handlers handlers)
    : io_(io), handlers_(std::move(handlers)), acceptor_(io), accept_pause_(io) {}

AdminServer::~AdminServer() {
  for (const std::shared_ptr<AdminConnection>& connection : connections_) connection->detach();
}

void AdminServer::listen(const tcp::endpoint& address) {
  tcp::acceptor acceptor(io_, address);  // sets SO_REUSEADDR
  acceptor_ = std::move(acceptor);
  accept();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_after_pause();
    // A client that sends nothing keeps its connection for seconds and must not block other clients.
    if (connections_.size() >= kMaxConnections) evict_connection();
    add_connection(std::move(socket));
    accept();
  });
}

void AdminServer::accept_after_pause() {
  accept_pause_.expires_after(kAcceptPause);
  accept_pause_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void AdminServer::add_connection(tcp::socket socket) {
  const auto entry = connections_.emplace(connections_.end());
  *entry = std::make_shared<AdminConnection>(
      std::move(socket), AdminConnection::Callbacks{[this](std::string_view line) { return reply_to(line); },
                                                    [this, entry] { connections_.erase(entry); }});
  (*entry)->start();
}

// Closes the oldest connection without input, or the oldest connection if all have input.
void AdminServer::evict_connection() {
  const auto silent = std::find_if(connections_.begin(), connections_.end(),
                                   [](const auto& connection) { return !connection->has_input(); });
  const std::shared_ptr<AdminConnection> evicted =
      silent != connections_.end() ? *silent : connections_.front();
  evicted->close();
}

std::string AdminServer::reply_to(std::string_view line) const {
  return std::visit(CommandHandler{handlers_}, parse_admin_command(line));
}

}  // namespace nettleyoke::node
