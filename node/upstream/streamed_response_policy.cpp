#include "upstream/streamed_response_policy.h"

#include <algorithm>

namespace nettleyoke::node {

void StreamedResponsePolicy::start(TimePoint now, std::size_t body_bytes, BodySize size,
                                   TimePoint request_end) {
  request_end_ = std::min(request_end, TimePoint::max() - kPeriod);  // the end may be unknown
  body_bytes_ = body_bytes;
  start_period(now);
  on_read(now, body_bytes, size);
}

void StreamedResponsePolicy::on_read(TimePoint now, std::size_t body_bytes, BodySize size) {
  size_ = size;
  last_read_at_ = now;
  body_bytes_ = body_bytes;
  const bool has_request_ended = now >= request_end_;
  if (!has_request_ended) bytes_at_period_start_ = body_bytes;
  if (size_ == BodySize::kLarge) {
    due_at_ = now + kMaxSilence;
  } else {
    due_at_ = std::min<TimePoint>(period_end_, has_request_ended ? now + kPeriod : now + kMaxSilence);
  }
}

bool StreamedResponsePolicy::should_give_up(TimePoint now) {
  const bool is_silent = size_ == BodySize::kLarge || !is_arriving(now);
  if (is_silent || size_ == BodySize::kSmall) return true;
  if (body_bytes_ - bytes_at_period_start_ < kMinBytesPerPeriod) return true;
  start_period(now);
  due_at_ = std::min<TimePoint>(period_end_, last_read_at_ + kPeriod);
  return false;
}

void StreamedResponsePolicy::start_period(TimePoint now) {
  period_end_ = std::max(now, request_end_) + kPeriod;
  bytes_at_period_start_ = body_bytes_;
}

}  // namespace nettleyoke::node
