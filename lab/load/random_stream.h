/// @file
/// A named stream of random numbers: the same seed and name always give the same numbers.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nettleyoke::lab {

/// Each part of an experiment has its own stream, so that its draws do not change the numbers of other parts.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view name) {
    constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;  // FNV-1a
    constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
    std::uint64_t hash = kFnvOffset ^ seed;
    for (const char letter : name) hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
    generator_.seed(hash ^ (seed << 32));
  }

  /// A uniform number in [0, 1).
  double uniform() { return boost::random::uniform_01<>()(generator_); }
  double exponential(double mean) { return boost::random::exponential_distribution<>(1 / mean)(generator_); }
  /// A uniform index in [0, count).
  /// @param count greater than 0
  std::size_t uniform_index(std::size_t count) {
    return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }
  /// A random index into `weights`, with probability proportional to the weight.
  /// @param weights not empty
  std::size_t weighted_index(const std::vector<double>& weights) {
    double sum = 0;
    for (const double weight : weights) sum += weight;
    double remaining = uniform() * sum;
    for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
      if (remaining < weights[index]) return index;
      remaining -= weights[index];
    }
    return weights.size() - 1;
  }
  /// A random id of 16 hexadecimal digits.
  std::string hex_id() {
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr int kDigitCount = 16;
    std::string digits;
    std::uint64_t bits = generator_();
    for (int i = 0; i < kDigitCount; ++i, bits >>= 4) digits += kDigits[bits & 15];
    return digits;
  }

 private:
  boost::random::mt19937_64 generator_;
};

}  // namespace nettleyoke::lab
