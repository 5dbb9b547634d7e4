/// The clients' listening socket that a process inherits when it takes over from another.
#pragma once

#include <optional>
#include <stdexcept>

namespace nettleyoke::node {

/// RELAY_LISTEN_FD names something else than a listening socket.
struct InheritedListenerError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The descriptor that RELAY_LISTEN_FD names, from now on closed on exec; the caller owns it.
/// @param text the variable's value; nothing comes of none and of an empty one.
/// @throws InheritedListenerError
[[nodiscard]] std::optional<int> inherited_listener(const char* text);

}  // namespace nettleyoke::node
