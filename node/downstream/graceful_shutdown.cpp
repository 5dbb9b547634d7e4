#include "downstream/graceful_shutdown.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "downstream/connection_admission.h"

namespace nettleyoke::node {

namespace asio = boost::asio;
using Seconds = GracefulShutdown::Seconds;

namespace {

/// Upper bound of a client's wait, counted from the start of the shutdown. Clients of classes with a longer
/// timeout also get their response by then, or at most kLastResponseMargin later.
constexpr Seconds kMaxClientWait{3.0};
/// From the end of the longest client wait to the time when the last response is due.
constexpr Seconds kLastResponseMargin{0.35};
/// From the closing of the idle connections to the end of the longest client wait.
constexpr Seconds kLastRequestMargin{0.2};
/// From the start of the shutdown to the closing of the listener.
constexpr Seconds kAcceptPeriod{0.5};

/// The longest client timeout of the classes in force, at most kMaxClientWait. Classes that are no longer in
/// force are ignored: they do not determine when the process is killed, and requests of them that have been
/// received may still use their full timeout.
Seconds longest_client_wait(const RequestCatalog& catalog) {
  double longest = 0;
  for (std::size_t i = 0; i < catalog.in_force_count; ++i) {
    longest = std::max(longest, std::min(catalog.classes[i].client_timeout, kMaxClientWait.count()));
  }
  return Seconds(longest);
}

}  // namespace

template <typename Step>
void GracefulShutdown::run_after(Seconds delay, Step step) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::to_duration(delay.count()));
  timer->async_wait([timer, step](boost::system::error_code) { step(); });
}

bool GracefulShutdown::is_handing_over() const {
  return is_shutting_down() && admission_.is_listener_inherited();
}

void GracefulShutdown::start(const RequestCatalog& catalog, std::function<void()> done) {
  if (is_shutting_down()) return;
  phase_ = Phase::kShuttingDown;
  done_ = std::move(done);
  const Seconds longest_wait = longest_client_wait(catalog);
  const Seconds last_response = longest_wait + kLastResponseMargin;
  dispatcher_.answer_all_within(
      {.received = (kMaxClientWait + kLastResponseMargin).count(), .arriving = last_response.count()});
  last_response_due_ = Clock::Steady::now() + Clock::to_duration(last_response.count());
  if (admission_.is_listener_inherited()) {
    admission_.close_inherited_listener();
    finish_if_complete();
  } else {
    run_after(kAcceptPeriod, [this] { admission_.stop_accepting(); });
  }
  run_after(std::max(kAcceptPeriod, longest_wait - kLastRequestMargin), [this] { close_idle_connections(); });
}

void GracefulShutdown::close_idle_connections() {
  phase_ = Phase::kClosingConnections;
  admission_.close_idle_connections();
  finish_if_complete();
}

void GracefulShutdown::finish_if_complete() {
  if (is_shutting_down() && done_ && !admission_.is_listening() && !admission_.has_connections()) {
    asio::post(io_, std::exchange(done_, nullptr));
  }
}

}  // namespace nettleyoke::node
