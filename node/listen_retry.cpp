#include "listen_retry.h"

#include <chrono>
#include <utility>

namespace nettleyoke::node {
namespace {

// Counted from the node's start. The previous process may hold the address this long while it shuts down
// gracefully.
constexpr double kMaxAddressWaitSeconds = 8;
constexpr std::chrono::milliseconds kRetryInterval{20};

}  // namespace

void ListenRetry::start(Listen listen, Done done) {
  listen_ = std::move(listen);
  done_ = std::move(done);
  try_listen();
}

void ListenRetry::try_listen() {
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
    if (!cancelled) try_listen();
  });
}

}  // namespace nettleyoke::node
