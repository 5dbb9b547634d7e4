#include "downstream/connection_admission.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "downstream/graceful_shutdown.h"

namespace nettleyoke::node {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kListenBacklog = 1024;
/// Delay before accepting again after a failed accept.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
/// A graceful shutdown keeps one in this many connections free.
constexpr std::size_t kConnectionsPerFreeConnection = 4;

}  // namespace

ConnectionAdmission::ConnectionAdmission(const Limits& limits, ConnectionContext& context)
    : context_(context), io_(context.io), acceptor_(io_), retry_timer_(io_), limits_(limits) {
  reserve_descriptor();
}

ConnectionAdmission::~ConnectionAdmission() {
  for (const std::shared_ptr<ClientConnection>& connection : connections_) connection->detach();
  release_reserved_descriptor();
}

void ConnectionAdmission::listen(const tcp::endpoint& address) {
  tcp::acceptor acceptor(io_, address.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(address);
  acceptor.listen(kListenBacklog);
  acceptor_ = std::move(acceptor);
}

void ConnectionAdmission::serve_on_inherited_listener(int listener) {
  acceptor_.assign(tcp::v4(), listener);
  is_listener_inherited_ = true;
}

void ConnectionAdmission::close_inherited_listener() {
  error_code ignored;
  acceptor_.close(ignored);
}

void ConnectionAdmission::accept() {
  if (is_stopping_) return stop_accepting();
  if (is_accept_pending_ || !acceptor_.is_open() || !may_open_connection()) return;
  is_accept_pending_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    is_accept_pending_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return on_accept_failed();
    admit(std::move(socket));
    accept();
  });
}

// Handles an accept that failed because no descriptor was free. A mere retry would make the event loop spin,
// because the listener stays readable, and the clients in its queue would wait without a response. Evicts a
// connection, or else releases the reserved descriptor to accept one client and reject its request, which may
// have arrived already. The system reports the missing descriptor even if the queue is empty. In that case
// the descriptor is reserved again at once: left free, it would admit the next client as one that can be
// served, and no descriptor would remain for its attempts.
void ConnectionAdmission::on_accept_failed() {
  const bool has_evicted = eviction_queue_.evict_one();
  if (!has_evicted) release_reserved_descriptor();
  error_code error;
  tcp::socket socket(io_);
  acceptor_.non_blocking(true, error);
  acceptor_.accept(socket, error);
  if (error) {
    reserve_descriptor();
  } else if (has_evicted) {
    admit(std::move(socket));
  } else {
    add_connection(std::move(socket), ClientConnection::Admission::kRejected);
  }
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void ConnectionAdmission::admit(tcp::socket socket) {
  const bool is_full = connections_.size() >= limits_.connections && !eviction_queue_.evict_one();
  add_connection(std::move(socket),
                 is_full ? ClientConnection::Admission::kRejected : ClientConnection::Admission::kAdmitted);
}

void ConnectionAdmission::add_connection(tcp::socket socket, ClientConnection::Admission admission) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<ClientConnection>(context_, std::move(socket), admission);
  connection->set_position(connections_.insert(connections_.end(), connection));
  connection->start();
}

void ConnectionAdmission::on_connection_closed(const ClientConnection& connection) {
  connections_.erase(connection.position());
  reserve_descriptor();
  context_.shutdown.finish_if_complete();
  if (!is_stopping_) return accept();
  asio::post(io_, [this] { accept(); });  // the caller may be the loop in stop_accepting()
}

// Closing the listener resets the connections in its queue, even those that have sent a request. Therefore
// accepts until the queue is empty before closing it. If the limits or a missing descriptor stop this loop,
// accept() calls this function again when a connection has closed or the retry timer has expired.
void ConnectionAdmission::stop_accepting() {
  is_stopping_ = true;
  error_code error;
  acceptor_.non_blocking(true, error);
  while (acceptor_.is_open() && (may_open_connection() || eviction_queue_.evict_one())) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) acceptor_.close(error);
    if (error) return on_accept_failed();
    if (socket.is_open()) admit(std::move(socket));
  }
  context_.shutdown.finish_if_complete();
}

void ConnectionAdmission::close_idle_connections() {
  std::vector<std::shared_ptr<ClientConnection>> idle;
  for (const std::shared_ptr<ClientConnection>& connection : connections_) {
    if (connection->is_idle() && !connection->is_first_request_expected() &&
        !connection->has_unread_bytes()) {
      idle.push_back(connection);
    } else {
      connection->shorten_deadline();
    }
  }
  for (const std::shared_ptr<ClientConnection>& connection : idle) connection->close();
}

bool ConnectionAdmission::is_short_of_free_connections() const {
  return eviction_queue_.size() < connections_.size() / kConnectionsPerFreeConnection;
}

void ConnectionAdmission::reserve_descriptor() {
  if (reserved_descriptor_ < 0) reserved_descriptor_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void ConnectionAdmission::release_reserved_descriptor() {
  if (reserved_descriptor_ >= 0) ::close(std::exchange(reserved_descriptor_, -1));
}

}  // namespace nettleyoke::node
