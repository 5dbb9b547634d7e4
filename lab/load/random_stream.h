// The draws of one part of an experiment: the same seed and part always draw the same.
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

class Draws {
 public:
  // Parts do not shift each other's draws: each has a generator of its own.
  Draws(std::uint64_t seed, std::string_view part) {
    std::uint64_t mixed = 14695981039346656037ULL ^ seed;  // FNV-1a
    for (const char c : part) mixed = (mixed ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    generator_.seed(mixed ^ (seed << 32));
  }

  double uniform() { return boost::random::uniform_01<>()(generator_); }
  double exponential(double mean) { return boost::random::exponential_distribution<>(1 / mean)(generator_); }
  std::size_t below(std::size_t count) {
    return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }
  // A place in `shares`, in proportion to them.
  std::size_t by_share(const std::vector<double>& shares) {
    double sum = 0;
    for (const double share : shares) sum += share;
    double left = uniform() * sum;
    for (std::size_t i = 0; i + 1 < shares.size(); ++i) {
      if (left < shares[i]) return i;
      left -= shares[i];
    }
    return shares.size() - 1;
  }
  std::string hex16() {
    constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    for (std::uint64_t left = generator_(), i = 0; i < 16; ++i, left >>= 4) out += kDigits[left & 15];
    return out;
  }

 private:
  boost::random::mt19937_64 generator_;
};

}  // namespace nettleyoke::lab
