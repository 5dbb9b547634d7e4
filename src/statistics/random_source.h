/// @file
/// Random draws and a hash with the same results on every platform.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nettleyoke {

/// A splitmix64 generator. It maps its bits to ranges itself, because standard distributions differ between
/// platforms, and reads neither a clock nor the system's entropy: the same seed always gives the same draws.
/// Owns the generator's state.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  /// 64 random bits.
  std::uint64_t next() {
    std::uint64_t bits = (state_ += 0x9E3779B97F4A7C15ULL);
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EBULL;
    return bits ^ (bits >> 31);
  }

  /// Uniform over [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  /// Uniform over 0 to bound - 1.
  std::size_t below(std::size_t bound) {
    return static_cast<std::size_t>(unit() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_;
};

/// FNV-1a hash with a final mix. Servers sorted by this hash have the same order at every replica, and the
/// order does not depend on how addresses were assigned.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
  return RandomSource(hash).next();
}

}  // namespace nettleyoke
