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

/// From the start; clients of classes that wait longer have their answer by then.
constexpr Seconds kMaxClientWait{3.0};
/// From the longest client wait to the last answer.
constexpr Seconds kLastAnswerMargin{0.35};
/// From the closing of the connections to the longest client wait.
constexpr Seconds kLastRequestMargin{0.2};
/// From the start to the listener's end.
constexpr Seconds kAcceptPeriod{0.5};

/// Classes that are no longer in force say nothing of when the kill comes, and requests of them that are open
/// may still take their time.
Seconds longest_client_wait(const RequestCatalog& catalog) {
  double longest = 0;
  for (std::size_t i = 0; i < catalog.in_force; ++i) {
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

bool GracefulShutdown::is_handing_over() const { return is_draining() && admission_.is_listener_inherited(); }

void GracefulShutdown::start(const RequestCatalog& catalog, std::function<void()> done) {
  if (is_draining()) return;
  phase_ = Phase::kDraining;
  done_ = std::move(done);
  const Seconds longest_wait = longest_client_wait(catalog);
  dispatcher_.bound_answers((kMaxClientWait + kLastAnswerMargin).count());
  last_answer_due_ = Clock::Steady::now() + Clock::to_duration((longest_wait + kLastAnswerMargin).count());
  if (admission_.is_listener_inherited()) {
    admission_.leave_inherited_listener();
    finish_if_drained();
  } else {
    run_after(kAcceptPeriod, [this] { admission_.stop_accepting(); });
  }
  run_after(std::max(kAcceptPeriod, longest_wait - kLastRequestMargin), [this] { close_idle_connections(); });
}

void GracefulShutdown::close_idle_connections() {
  phase_ = Phase::kClosingConnections;
  admission_.close_idle_connections();
  finish_if_drained();
}

void GracefulShutdown::finish_if_drained() {
  if (is_draining() && done_ && !admission_.is_listening() && !admission_.has_connections()) {
    asio::post(io_, std::exchange(done_, nullptr));
  }
}

}  // namespace nettleyoke::node
