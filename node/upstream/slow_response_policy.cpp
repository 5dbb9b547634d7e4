#include "upstream/slow_response_policy.h"

namespace nettleyoke::node {
namespace {

using TimePoint = SlowResponsePolicy::TimePoint;

// The rate at which peers are specified to send large bodies.
constexpr double kLargeBodyBytesPerSecond = 64e3;
// The rules count a large response as lost if the node holds back for 2 s what it has of it.
constexpr std::chrono::seconds kMaxBuffering{1};

bool has_rate(TimePoint since, TimePoint now, std::size_t bytes, double bytes_per_second) {
  const double seconds = std::chrono::duration<double>(now - since).count();
  return static_cast<double>(bytes) >= bytes_per_second * seconds;
}

}  // namespace

void SlowResponsePolicy::on_begun(TimePoint now) { begun_at_ = now; }

void SlowResponsePolicy::on_read(TimePoint now, std::size_t body_bytes) {
  if (body_bytes > 0 && !body_begun_at_) body_begun_at_ = now;
}

void SlowResponsePolicy::reset() {
  begun_at_.reset();
  body_begun_at_.reset();
}

SlowResponsePolicy::Decision SlowResponsePolicy::check(TimePoint now, const Progress& progress,
                                                       bool may_retry) const {
  if (progress.is_streamable && is_worth_streaming(now, progress)) return Decision::kStream;
  return is_arriving(now, progress) || !may_retry ? Decision::kWait : Decision::kGiveUp;
}

// Without any byte of the body the response may still be a large one whose body begins late.
SlowResponsePolicy::Decision SlowResponsePolicy::decide_at_request_end(TimePoint now,
                                                                       const Progress& progress) const {
  const bool may_become_large = progress.body_bytes == 0 || is_arriving(now, progress);
  return progress.is_streamable && may_become_large ? Decision::kStream : Decision::kGiveUp;
}

bool SlowResponsePolicy::is_arriving(TimePoint now, const Progress& progress) const {
  return body_begun_at_ && has_rate(*body_begun_at_, now, progress.body_bytes, kMinBytesPerSecond);
}

bool SlowResponsePolicy::is_worth_streaming(TimePoint now, const Progress& progress) const {
  if (!body_begun_at_) return false;
  if (has_rate(*begun_at_, now, progress.body_bytes, kLargeBodyBytesPerSecond)) return true;
  const Duration buffered_for = now - *body_begun_at_;
  if (buffered_for >= kMaxBuffering) return is_arriving(now, progress);
  return buffered_for >= kCheckInterval &&
         has_rate(*body_begun_at_, now, progress.body_bytes, kLargeBodyBytesPerSecond);
}

}  // namespace nettleyoke::node
