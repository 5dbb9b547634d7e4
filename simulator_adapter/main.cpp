/// @file
/// nettleyoke_adapter: implements the simulator's wire protocol on standard input and output. Each line of
/// JSON is answered by one line.
#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>

#include "rapidjson/document.h"
#include "replica_host.h"
#include "wire_reader.h"

namespace {

namespace adapter = nettleyoke::simulator_adapter;

constexpr int kOutputFailed = 1;
constexpr int kInvalidInput = 2;

/// Writes and flushes one line; the simulator waits for it.
[[nodiscard]] bool write_line(std::string_view reply) {
  std::fwrite(reply.data(), 1, reply.size(), stdout);
  std::fputc('\n', stdout);
  return std::fflush(stdout) == 0;
}

bool is_blank(const std::string& line) { return line.find_first_not_of(" \t\r") == std::string::npos; }

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  adapter::ReplicaHost host;
  std::string line;
  std::uint64_t line_number = 0;
  while (std::getline(std::cin, line)) {
    if (is_blank(line)) continue;
    ++line_number;
    std::string turn = "unknown";
    try {
      const rapidjson::Document batch = adapter::parse_line(line);
      turn = std::to_string(adapter::read_turn(batch));
      if (!write_line(host.execute_batch(batch))) return kOutputFailed;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "nettleyoke_adapter: line %llu, turn %s: %s\n",
                   static_cast<unsigned long long>(line_number), turn.c_str(), error.what());
      return kInvalidInput;
    }
  }
  return 0;
}
