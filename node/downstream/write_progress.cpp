#include "downstream/write_progress.h"

#include <algorithm>

#include "downstream/connection_timeouts.h"

namespace nettleyoke::node {

void WriteProgress::start(TimePoint now) {
  *this = {};
  moved_at_ = now;
}

void WriteProgress::on_written(TimePoint now, std::size_t bytes) {
  moved_at_ = now;
  written_bytes_ += bytes;
  unacknowledged_bytes_.reset();
}

// Nothing is written between two checks without a call of on_written(), so that only the client's system can
// make the number smaller.
void WriteProgress::on_check(TimePoint now, int unacknowledged_bytes) {
  if (unacknowledged_bytes_ && unacknowledged_bytes < *unacknowledged_bytes_) moved_at_ = now;
  unacknowledged_bytes_ = unacknowledged_bytes;
}

std::uint64_t WriteProgress::acknowledged_bytes() const {
  const auto unacknowledged = static_cast<std::uint64_t>(std::max(0, unacknowledged_bytes_.value_or(0)));
  return written_bytes_ - std::min(written_bytes_, unacknowledged);
}

// The client's receive buffer is not larger than what its system has acknowledged.
Clock::Steady::duration WriteProgress::max_pause() const {
  const double hidden_bytes = kReportedBufferPart * static_cast<double>(acknowledged_bytes());
  return kMaxPause + Clock::to_duration(hidden_bytes / kMinClientBytesPerSecond);
}

}  // namespace nettleyoke::node
