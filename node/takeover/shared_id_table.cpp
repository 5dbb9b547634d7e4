#include "takeover/shared_id_table.h"

#include <fcntl.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iostream>
#include <utility>

namespace nettleyoke::node {
namespace {

std::int64_t to_nanoseconds(SharedIdTable::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

}  // namespace

SharedIdTable::SharedIdTable(const std::string& directory) {
  if (directory.empty()) return;
  const std::string path = directory + "/" + kFileName;
  file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file_ < 0) std::clog << "cannot open " << path << ": " << std::strerror(errno) << '\n';
}

SharedIdTable::~SharedIdTable() {
  if (file_ >= 0) ::close(file_);
}

void SharedIdTable::insert(std::uint64_t hash, TimePoint now, TimePoint expires_at) {
  const std::optional<Group> group = read_group(hash);
  if (!group) return;
  const std::int64_t now_ns = to_nanoseconds(now);
  // The slot that has the id already, or else the one that expires first; expired and empty ones come before.
  const auto rank = [&](const Slot& slot) {
    if (slot.hash == hash) return std::int64_t{-1};
    return slot.expires_at_ns <= now_ns ? 0 : slot.expires_at_ns;
  };
  const auto target =
      std::min_element(group->begin(), group->end(),
                       [&](const Slot& left, const Slot& right) { return rank(left) < rank(right); });
  write_slot(hash, static_cast<std::size_t>(target - group->begin()), {hash, to_nanoseconds(expires_at)});
}

void SharedIdTable::erase(std::uint64_t hash) {
  const std::optional<Group> group = read_group(hash);
  if (!group) return;
  for (std::size_t index = 0; index < group->size(); ++index) {
    if ((*group)[index].hash == hash) write_slot(hash, index, {});
  }
}

bool SharedIdTable::contains(std::uint64_t hash, TimePoint now) const {
  const std::optional<Group> group = read_group(hash);
  return group && std::any_of(group->begin(), group->end(), [&](const Slot& slot) {
           return slot.hash == hash && slot.expires_at_ns > to_nanoseconds(now);
         });
}

// Bytes beyond the end of the file are empty slots.
std::optional<SharedIdTable::Group> SharedIdTable::read_group(std::uint64_t hash) const {
  if (file_ < 0) return std::nullopt;
  Group group;
  const auto offset = static_cast<off_t>(hash % kGroups * sizeof group);
  ssize_t size = 0;
  do {
    size = ::pread(file_, group.data(), sizeof group, offset);
  } while (size < 0 && errno == EINTR);
  if (size < 0) return std::nullopt;
  const std::size_t complete_slots = static_cast<std::size_t>(size) / sizeof(Slot);
  std::fill(group.begin() + static_cast<std::ptrdiff_t>(complete_slots), group.end(), Slot{});
  return group;
}

void SharedIdTable::write_slot(std::uint64_t hash, std::size_t index, const Slot& slot) {
  const auto offset = static_cast<off_t>(hash % kGroups * sizeof(Group) + index * sizeof slot);
  ssize_t size = 0;
  do {
    size = ::pwrite(file_, &slot, sizeof slot, offset);
  } while (size < 0 && errno == EINTR);
  if (size == sizeof slot || std::exchange(has_logged_failure_, true)) return;
  std::clog << "cannot write " << kFileName << "; the other process of a takeover may not know a request\n";
}

}  // namespace nettleyoke::node
