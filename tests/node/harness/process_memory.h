/// @file
/// The memory that a node's process uses.
#pragma once

#include <cstddef>
#include <fstream>
#include <string>

#include "harness/node_process.h"

namespace nettleyoke::node {

/// @return the most memory that the process has used so far; 0 if it has ended
inline std::size_t peak_memory_bytes(const NodeProcess& node) {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(node.pid()) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

}  // namespace nettleyoke::node
