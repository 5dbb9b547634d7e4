#include "discovery/discovery_client.h"

#include <chrono>
#include <iostream>
#include <utility>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// After discovery has moved, the node counts as notified of a change at the new address once this time has
// passed.
constexpr std::chrono::seconds kMoveGracePeriod{4};
// The mean pause between watches during the grace period.
constexpr double kMoveRetrySeconds = 0.3;

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address, ZoneDirectory directory,
                                 const Clock& clock, std::uint64_t seed, Listener listener)
    : io_(io),
      address_(std::move(address)),
      directory_(std::move(directory)),
      clock_(clock),
      listener_(std::move(listener)),
      jitter_(static_cast<std::minstd_rand::result_type>(seed)),
      move_retry_timer_(io) {}

DiscoveryClient::~DiscoveryClient() {
  if (watch_) watch_->detach();
}

// The caller may still have a timer for a watch from before discovery moved. At a discovery that processes
// requests one at a time, replacing the open watch would lose its place in the queue and its response.
void DiscoveryClient::watch() {
  if (!watch_ && !is_move_retry_pending_) open();
}

void DiscoveryClient::open() {
  if (watch_) watch_->detach();
  WatchConnection::Observer& observer = *this;
  watch_ = std::make_shared<WatchConnection>(io_, observer, responds_immediately_);
  watch_->start(address_, list_version_);
}

void DiscoveryClient::move_to(const tcp::endpoint& address) {
  if (address == address_ && watch_) return;
  address_ = address;
  // The two addresses may count list versions differently; a complete list makes sure that no change is
  // missed.
  list_version_ = 0;
  move_grace_ends_at_ = Clock::Steady::now() + kMoveGracePeriod;
  is_move_retry_pending_ = false;
  cancel_timer(move_retry_timer_);
  open();
}

bool DiscoveryClient::on_object(std::string_view object) {
  EndpointList list;
  try {
    list = parse_endpoint_list(object, directory_, clock_);
  } catch (const std::exception& error) {
    // On any error, including std::bad_alloc, the current list stays in force. The changes in this object are
    // lost, so this watch ends and the next one continues at the current version.
    log_first_error(std::string("discovery: ") + error.what());
    return false;
  }
  has_logged_error_ = false;
  move_grace_ends_at_ = {};
  list_version_ = list.version;
  listener_.on_list(list);
  return true;
}

void DiscoveryClient::on_alive() { listener_.on_alive(); }

void DiscoveryClient::on_malformed() {
  log_first_error("discovery: endpoint list is malformed or incomplete");
}

void DiscoveryClient::on_ended() {
  watch_.reset();
  if (Clock::Steady::now() >= move_grace_ends_at_) return listener_.on_failure();
  schedule_move_retry();
}

// The decision library's own backoff grows with each failure and adds up to more than the grace period.
// The jitter spreads the retries, because many nodes are moved at the same time.
void DiscoveryClient::schedule_move_retry() {
  is_move_retry_pending_ = true;
  const double jitter = std::uniform_real_distribution<>()(jitter_);
  move_retry_timer_.expires_after(Clock::to_duration(kMoveRetrySeconds * (0.5 + jitter)));
  move_retry_timer_.async_wait([this](error_code cancelled) {
    if (cancelled || Clock::Steady::now() < move_retry_timer_.expiry()) return;
    is_move_retry_pending_ = false;
    open();
  });
}

void DiscoveryClient::log_first_error(const std::string& text) {
  if (!std::exchange(has_logged_error_, true)) std::clog << text << '\n';
}

}  // namespace nettleyoke::node
