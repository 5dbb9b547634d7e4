#include "discovery/discovery_client.h"

#include <chrono>
#include <iostream>
#include <utility>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// What discovery sends counts as notified so soon after it has moved.
constexpr std::chrono::seconds kMoveGracePeriod{4};
// Until then the pause between watches, in the mean.
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
      move_retry_(io) {}

DiscoveryClient::~DiscoveryClient() {
  if (watch_) watch_->detach();
}

// A timer for a new watch may stand from before discovery moved. A second call would cost its turn at a
// discovery that works through calls one by one, and the first one's response with it.
void DiscoveryClient::watch() {
  if (!watch_ && !is_pausing_) open();
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
  // Nothing says that versions are counted alike at both addresses: a change between them must not be missed.
  list_version_ = 0;
  following_move_until_ = Clock::Steady::now() + kMoveGracePeriod;
  is_pausing_ = false;
  cancel_timer(move_retry_);
  open();
}

bool DiscoveryClient::on_object(std::string_view object) {
  EndpointList list;
  try {
    list = parse_endpoint_list(object, directory_, clock_);
  } catch (const std::exception& error) {
    // Whatever the error, also one of memory: the old list stays. Its changes are missed, so the watch starts
    // again from before it.
    log_first_problem(std::string("discovery: ") + error.what());
    return false;
  }
  has_logged_problem_ = false;
  following_move_until_ = {};
  list_version_ = list.version;
  listener_.on_list(list);
  return true;
}

void DiscoveryClient::on_alive() { listener_.on_alive(); }

void DiscoveryClient::on_malformed() {
  log_first_problem("discovery: a list that is broken or was not finished");
}

void DiscoveryClient::on_ended() {
  watch_.reset();
  if (Clock::Steady::now() >= following_move_until_) return listener_.on_failure();
  open_after_pause();
}

// What discovery sends counts as notified soon after a move, and the decision library's own pauses, which
// grow with each failure, add up to more than that. Many nodes are moved together: hence the jitter.
void DiscoveryClient::open_after_pause() {
  is_pausing_ = true;
  const double jitter = std::uniform_real_distribution<>()(jitter_);
  move_retry_.expires_after(Clock::to_duration(kMoveRetrySeconds * (0.5 + jitter)));
  move_retry_.async_wait([this](error_code cancelled) {
    if (cancelled || Clock::Steady::now() < move_retry_.expiry()) return;
    is_pausing_ = false;
    open();
  });
}

void DiscoveryClient::log_first_problem(const std::string& text) {
  if (!std::exchange(has_logged_problem_, true)) std::clog << text << '\n';
}

}  // namespace nettleyoke::node
