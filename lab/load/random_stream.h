/// @file
/// The random numbers of one part of an experiment: the same seed and part always give the same.
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

/// A generator of its own for each part, so that parts do not shift each other's numbers.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view part) {
    constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;  // FNV-1a
    constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
    std::uint64_t hash = kFnvOffset ^ seed;
    for (const char letter : part) hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
    generator_.seed(hash ^ (seed << 32));
  }

  /// At least 0, below 1.
  double uniform() { return boost::random::uniform_01<>()(generator_); }
  double exponential(double mean) { return boost::random::exponential_distribution<>(1 / mean)(generator_); }
  /// At least 0, below `count`, which is not 0.
  std::size_t uniform_index(std::size_t count) {
    return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }
  /// An index into `weights`, which are not empty, in proportion to them.
  std::size_t weighted_index(const std::vector<double>& weights) {
    double sum = 0;
    for (const double weight : weights) sum += weight;
    double rest = uniform() * sum;
    for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
      if (rest < weights[index]) return index;
      rest -= weights[index];
    }
    return weights.size() - 1;
  }
  /// 16 hexadecimal digits.
  std::string hex_id() {
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr int kDigitCount = 16;
    std::string digits;
    std::uint64_t rest = generator_();
    for (int i = 0; i < kDigitCount; ++i, rest >>= 4) digits += kDigits[rest & 15];
    return digits;
  }

 private:
  boost::random::mt19937_64 generator_;
};

}  // namespace nettleyoke::lab
