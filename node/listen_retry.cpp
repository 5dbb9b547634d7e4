#include "listen_retry.h"

#include <chrono>
#include <utility>

namespace nettleyoke::node {
namespace {

// From the node's start; so long the process before this one, which serves to its end, may hold an address.
constexpr double kMaxAddressWaitSeconds = 8;
constexpr std::chrono::milliseconds kRetryInterval{20};

}  // namespace

void ListenRetry::start(Listen listen, Done done) {
  listen_ = std::move(listen);
  done_ = std::move(done);
  attempt();
}

void ListenRetry::attempt() {
  boost::system::error_code error;
  try {
    listen_();
  } catch (const boost::system::system_error& thrown) {
    error = thrown.code();
  }
  if (error != boost::asio::error::address_in_use || clock_.now() >= kMaxAddressWaitSeconds) {
    return done_(error);
  }
  timer_.expires_after(kRetryInterval);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) attempt();
  });
}

}  // namespace nettleyoke::node
