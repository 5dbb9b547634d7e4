#include "downstream/upload_clock.h"

namespace nettleyoke::node {
namespace {

// More than the operating systems of a client and of the node hold of one connection: Linux limits a send
// buffer to 4 MiB and a receive buffer to 6 MiB by default.
constexpr std::uint64_t kMaxBytesInSocketBuffers = std::uint64_t{16} * 1024 * 1024;

}  // namespace

void UploadClock::start(TimePoint now, Clock::Steady::duration time_limit) {
  *this = {};
  incomplete_at_ = now;
  time_limit_ = time_limit;
}

void UploadClock::on_drained(TimePoint now) {
  incomplete_at_ = now;
  was_blocked_ = false;
}

void UploadClock::on_blocked(TimePoint now, std::optional<std::uint64_t> remaining_bytes) {
  is_blocked_ = true;
  was_blocked_ = true;
  if (remaining_bytes && *remaining_bytes > kMaxBytesInSocketBuffers) {
    incomplete_at_ = now;
    was_blocked_ = false;
  }
}

std::optional<UploadClock::TimePoint> UploadClock::answer_due_at() const {
  if (!was_blocked_) return std::nullopt;
  return incomplete_at_ + time_limit_;
}

}  // namespace nettleyoke::node
