/// @file
/// Estimates the memory of messages.
#pragma once

#include <cstddef>

namespace nettleyoke::node {

/// Memory of one header field beside its text, with the share of the allocator. A head of many short fields
/// takes some twenty times its size on the wire.
constexpr std::size_t kFieldOverheadBytes = 96;

/// Approximate memory of the header fields of a message.
template <typename Fields>
[[nodiscard]] std::size_t fields_memory_bytes(const Fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields) {
    bytes += kFieldOverheadBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

}  // namespace nettleyoke::node
