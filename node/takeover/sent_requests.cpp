#include "takeover/sent_requests.h"

namespace nettleyoke::node {
namespace {

// FNV-1a. The processes of a node may be of different builds and must compute the same values.
std::uint64_t hash_of(const std::string& id) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  std::uint64_t hash = kOffsetBasis;
  for (const char byte : id) hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  return hash;
}

}  // namespace

void SentRequests::add(const std::string& id, TimePoint now) {
  const std::uint64_t hash = hash_of(id);
  remove_expired(now);
  remove_entry(hash);
  if (entries_.size() >= kMaxRequests) remove_entry(entries_.front().hash);
  entry_of_hash_[hash] = entries_.insert(entries_.end(), {hash, now + kRetention});
  shared_.insert(hash, now, now + kRetention);
}

void SentRequests::remove(const std::string& id) {
  const std::uint64_t hash = hash_of(id);
  remove_entry(hash);
  shared_.erase(hash);
}

bool SentRequests::contains(const std::string& id, TimePoint now) {
  remove_expired(now);
  const std::uint64_t hash = hash_of(id);
  return entry_of_hash_.contains(hash) || shared_.contains(hash, now);
}

void SentRequests::remove_entry(std::uint64_t hash) {
  const auto found = entry_of_hash_.find(hash);
  if (found == entry_of_hash_.end()) return;
  entries_.erase(found->second);
  entry_of_hash_.erase(found);
}

void SentRequests::remove_expired(TimePoint now) {
  while (!entries_.empty() && entries_.front().expires_at <= now) remove_entry(entries_.front().hash);
}

}  // namespace nettleyoke::node
