#include "takeover/inherited_listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <charconv>
#include <string>
#include <string_view>

namespace nettleyoke::node {
namespace {

std::optional<int> parse_descriptor(std::string_view digits) {
  int descriptor = -1;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), descriptor);
  if (error != std::errc() || end != digits.data() + digits.size() || descriptor < 0) return std::nullopt;
  return descriptor;
}

bool is_listening(int descriptor) {
  int listens = 0;
  socklen_t size = sizeof listens;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0;
}

}  // namespace

std::optional<int> inherited_listener(const char* text) {
  if (text == nullptr || *text == '\0') return std::nullopt;
  const std::optional<int> descriptor = parse_descriptor(text);
  if (!descriptor || !is_listening(*descriptor)) {
    throw InheritedListenerError("RELAY_LISTEN_FD: " + std::string(text) +
                                 " is not the descriptor of a listening socket");
  }
  ::fcntl(*descriptor, F_SETFD, FD_CLOEXEC);
  return descriptor;
}

}  // namespace nettleyoke::node
