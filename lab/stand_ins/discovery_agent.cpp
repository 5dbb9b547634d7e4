#include "stand_ins/discovery_agent.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "net/http_text.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::Clock;
using Tcp = asio::ip::tcp;

constexpr double kHeartbeatSeconds = 2;          // interval between the empty lines sent on a watch
constexpr double kNotificationLimitSeconds = 6;  // after this a node counts as notified even without a watch
constexpr std::string_view kVersionParameter = "after=";

}  // namespace

/// One connection of the node, with one request.
class DiscoveryAgent::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(DiscoveryAgent& owner, Tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  void start() {
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](error_code error, std::size_t size) {
                       if (self->owner_ == nullptr) return;
                       if (error) return self->close();
                       self->owner_->counters_.bytes_in += size;
                       self->owner_->counters_.calls += 1;
                       self->has_request_ = true;
                       self->respond();
                       self->wait_for_end();
                     });
  }
  /// Sends the response, unless discovery is down; then the owner calls this again once discovery is up.
  void respond() {
    if (!has_request_ || is_response_sent_ || owner_->is_down_) return;
    is_response_sent_ = true;
    const std::string target(request_.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path != "/catalog/members") return send(net::response_text(404, "X", ""));
    is_watch_ = target.find("watch=1") != std::string::npos;
    if (!is_watch_) {
      owner_->counters_.full_lists += 1;
      return send(net::response_text(200, "OK", owner_->catalog_.full_list()));
    }
    send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t at = target.find(kVersionParameter);
    if (at != std::string::npos) {
      std::from_chars(target.data() + at + kVersionParameter.size(), target.data() + target.size(), version_);
    }
    send_update();
  }
  /// Sends the changes since the last update, if there are any.
  void on_new_version() {
    if (version_ != owner_->catalog_.version()) send_update();
  }
  void send_heartbeat() {
    if (is_watch_ && !is_stalled_) send(net::chunk_text("\n"));
  }
  void stall() { is_stalled_ = is_watch_; }
  bool is_watch() const { return is_watch_; }
  bool is_stalled() const { return is_stalled_; }
  void reset() {
    owner_ = nullptr;
    net::reset(socket_);
  }
  /// Closes the connection without notifying the owner.
  void detach() {
    owner_ = nullptr;
    net::close(socket_);
  }

 private:
  // The first update of a watch may contain no changes.
  void send_update() {
    if (!is_watch_ || is_stalled_) return;
    const EndpointCatalog& catalog = owner_->catalog_;
    if (version_ > 0) owner_->counters_.changes += catalog.history_after(version_).size();
    const auto changes = version_ > 0 ? catalog.changes_after(version_) : std::nullopt;
    if (!changes) owner_->counters_.full_lists += 1;
    version_ = catalog.version();
    send(net::chunk_text((changes ? *changes : catalog.full_list()) + "\n"));
  }
  void wait_for_end() {
    socket_.async_read_some(asio::buffer(ignored_bytes_),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->close();
                              self->wait_for_end();
                            });
  }
  void close() {
    DiscoveryAgent* owner = owner_;
    detach();
    owner->connections_.erase(shared_from_this());
  }
  void send(const std::string& bytes) {
    owner_->counters_.bytes_out += bytes.size();
    queued_bytes_ += bytes;
    if (bytes_in_write_.empty()) write();
  }
  void write() {
    bytes_in_write_.swap(queued_bytes_);
    if (bytes_in_write_.empty()) return;
    asio::async_write(socket_, asio::buffer(bytes_in_write_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        // A write error is ignored: wait_for_end() detects the closed connection.
                        if (self->owner_ == nullptr || error) return;
                        self->bytes_in_write_.clear();
                        self->write();
                      });
  }

  DiscoveryAgent* owner_;  // null once detached
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::array<char, 256> ignored_bytes_{};
  std::string queued_bytes_, bytes_in_write_;
  std::uint64_t version_ = 0;  // the node's list version
  bool has_request_ = false, is_response_sent_ = false, is_watch_ = false, is_stalled_ = false;
};

DiscoveryAgent::DiscoveryAgent(asio::io_context& io, const Clock& clock, InvariantChecker& checker,
                               std::size_t node, Notification notification)
    : io_(io),
      clock_(clock),
      checker_(checker),
      node_(node),
      notification_(notification),
      listener_(io),
      heartbeat_timer_(io) {
  listener_.open([this](Tcp::socket socket) {
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
  });
  send_heartbeats();
}

DiscoveryAgent::~DiscoveryAgent() {
  for (const std::shared_ptr<Connection>& connection : connections_) connection->detach();
}

void DiscoveryAgent::send_heartbeats() {
  heartbeat_timer_.expires_after(Clock::to_duration(kHeartbeatSeconds));
  heartbeat_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    if (!is_down_) {
      for (const std::shared_ptr<Connection>& connection : connections_) connection->send_heartbeat();
    }
    send_heartbeats();
  });
}

void DiscoveryAgent::publish(const EndpointCatalog& catalog) {
  if (delay_ <= 0) return apply(catalog);
  net::run_after(io_, delay_, [this, catalog] { apply(catalog); });
}

// A stalled watch sends nothing, and its node needs time to detect that. With kWhileWatching a node without
// an open watch is not notified immediately either.
bool DiscoveryAgent::is_notified_immediately() const {
  bool has_live_watch = false;
  bool has_stalled_watch = false;
  for (const std::shared_ptr<Connection>& connection : connections_) {
    has_live_watch |= connection->is_watch() && !connection->is_stalled();
    has_stalled_watch |= connection->is_stalled();
  }
  return has_live_watch || (notification_ == Notification::kImmediate && !has_stalled_watch);
}

void DiscoveryAgent::apply(const EndpointCatalog& catalog) {
  if (is_down_ || is_partitioned_) {
    missed_ = catalog;
    return;
  }
  if (catalog.version() <= catalog_.version()) return;  // delayed; a newer version is already applied
  const double must_exclude_from = clock_.now() + (is_notified_immediately() ? 0 : kNotificationLimitSeconds);
  for (const EndpointEntry& entry : catalog.history_after(catalog_.version())) {
    const bool is_usable = entry.status == EndpointStatus::kUp;
    checker_.server_notified(node_, entry.name, is_usable, is_usable ? clock_.now() : must_exclude_from);
  }
  catalog_ = catalog;
  for (const std::shared_ptr<Connection>& connection : connections_) connection->on_new_version();
}

void DiscoveryAgent::apply_missed() {
  if (is_down_ || is_partitioned_ || !missed_) return;
  apply(*std::exchange(missed_, std::nullopt));
}

void DiscoveryAgent::set_down(bool is_down) {
  is_down_ = is_down;
  if (is_down) return;
  apply_missed();
  for (const std::shared_ptr<Connection>& connection : connections_) connection->respond();
}

void DiscoveryAgent::set_partitioned(bool is_partitioned) {
  is_partitioned_ = is_partitioned;
  apply_missed();
}

void DiscoveryAgent::reset_watches() {
  for (auto at = connections_.begin(); at != connections_.end();) {
    if ((*at)->is_watch()) {
      (*at)->reset();
      at = connections_.erase(at);
    } else {
      ++at;
    }
  }
}

void DiscoveryAgent::stall_watches() {
  for (const std::shared_ptr<Connection>& connection : connections_) connection->stall();
}

}  // namespace nettleyoke::lab
