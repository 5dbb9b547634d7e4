#include "event_loop.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <utility>

namespace nettleyoke::node {

EventLoop::EventLoop() : io_(1), reload_signals_(io_, SIGHUP), stop_signals_(io_, SIGTERM, SIGINT) {}

void EventLoop::run() {
  for (bool has_logged = false;;) {
    try {
      io_.run();
      return;
    } catch (const std::exception& error) {
      if (!std::exchange(has_logged, true)) {
        std::clog << "exception in an event handler (further ones are not logged): " << error.what() << '\n';
      }
    }
  }
}

}  // namespace nettleyoke::node
