/// @file
/// The listening socket for clients that a process inherits in a process takeover.
#pragma once

#include <optional>
#include <stdexcept>

namespace nettleyoke::node {

/// The value of RELAY_LISTEN_FD is not the descriptor of a listening socket.
struct InheritedListenerError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses RELAY_LISTEN_FD and marks the descriptor close-on-exec. The caller owns the descriptor.
/// @param text the value of the variable; may be null
/// @return nothing if the value is null or empty
/// @throws InheritedListenerError if the value is not the descriptor of a listening socket
[[nodiscard]] std::optional<int> inherited_listener(const char* text);

}  // namespace nettleyoke::node
