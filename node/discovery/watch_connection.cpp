#include "discovery/watch_connection.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace nettleyoke::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

// The longest time without a byte on an open watch. Discovery sends an empty line every 2 s: if one is
// missing after some tolerance, the watch is dead. The node counts as notified of a change after 6 s: with a
// longer timeout a draining server could still get requests after that.
constexpr milliseconds kIdleTimeout{3000};
// For connecting, and for the response head from an agent that responds immediately. With kIdleTimeout
// instead, two failed watches in a row would take all the time until the node counts as notified of a change
// that it missed.
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kHeadTimeout{1000};
// From the start of the connect until an agent that responds immediately must have sent the first item, and
// the complete list if it was requested. Without this limit, the silence before the previous watch ended and
// the steps of this watch, each within its own timeout, could add up to more than the time until the node
// counts as notified of a change.
constexpr milliseconds kFirstListTimeout{2000};
// The longest time without a byte inside an object, and the longest time for a whole object.
constexpr milliseconds kObjectStallTimeout{1000};
constexpr milliseconds kObjectTimeout{1500};

constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;

Clock::Steady::time_point from_now(Clock::Steady::duration duration) {
  return Clock::Steady::now() + duration;
}

}  // namespace

WatchConnection::WatchConnection(asio::io_context& io, Observer& observer, bool responds_immediately)
    : observer_(&observer), socket_(io), deadline_timer_(io), responds_immediately_(responds_immediately) {}

void WatchConnection::start(const asio::ip::tcp::endpoint& address, std::uint64_t after_version) {
  parser_.body_limit(boost::none);
  parser_.header_limit(kMaxHeadBytes);
  std::string target = "/catalog/members?watch=1";
  if (after_version > 0) target += "&after=" + std::to_string(after_version);
  constexpr int kHttp11 = 11;
  request_.method(http::verb::get);
  request_.target(target);
  request_.version(kHttp11);
  request_.set(http::field::host, address.address().to_string() + ":" + std::to_string(address.port()));
  awaits_full_list_ = responds_immediately_ && after_version == 0;
  startup_deadline_ = from_now(responds_immediately_ ? kFirstListTimeout : kIdleTimeout);
  set_read_deadline(kConnectTimeout);
  socket_.async_connect(address, [self = shared_from_this()](error_code error) {
    if (error || self->state_ == State::kEnded) return self->end();
    self->send_request();
  });
}

void WatchConnection::send_request() {
  state_ = State::kAwaitingHead;
  set_read_deadline(responds_immediately_ ? kHeadTimeout : kIdleTimeout);
  http::async_write(socket_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->end();
    self->read();
  });
}

void WatchConnection::read() {
  http::async_read_some(socket_, buffer_, parser_,
                        [self = shared_from_this()](error_code error, std::size_t) { self->on_read(error); });
}

// A read may return the last bytes of a response together with an error: the bytes are processed first.
void WatchConnection::on_read(error_code error) {
  if (state_ == State::kEnded) return;
  if (parser_.is_header_done()) {
    if (parser_.get().result() != http::status::ok) return end();
    on_body();
    if (state_ == State::kEnded) return;
  }
  if (error || parser_.is_done()) return end();
  read();
}

void WatchConnection::on_body() {
  const bool is_first = state_ == State::kAwaitingHead;
  if (is_first) state_ = State::kAwaitingFirstItem;
  std::string& body = parser_.get().body();
  if (body.empty()) {
    if (is_first) set_read_deadline(responds_immediately_ ? kHeadTimeout : kIdleTimeout);
    return;
  }
  // The deadline of an object starts with its first bytes; later bytes do not extend it.
  bool object_begins = !splitter_.is_inside_object();
  splitter_.append(body);
  body.clear();
  std::string object;
  for (auto item = splitter_.next(object); item != ObjectSplitter::Item::kNone;
       item = splitter_.next(object)) {
    if (!on_item(item, object)) return;
    object_begins = true;
  }
  // The first bytes show that the watch has left discovery's queue. The time in the queue must not shorten
  // the time that the list may take.
  if (!responds_immediately_ || (state_ == State::kAlive && !awaits_full_list_)) {
    startup_deadline_ = TimePoint::max();
  }
  if (object_begins) object_deadline_ = from_now(kObjectTimeout);
  set_read_deadline(splitter_.is_inside_object() ? kObjectStallTimeout : kIdleTimeout);
}

// Returns false if the watch has ended; the observer may have ended it.
bool WatchConnection::on_item(ObjectSplitter::Item item, const std::string& object) {
  if (item == ObjectSplitter::Item::kMalformed) {
    end_malformed();
    return false;
  }
  if (item == ObjectSplitter::Item::kObject) {
    awaits_full_list_ = false;
    const bool accepted = observer_->on_object(object);
    if (state_ == State::kEnded) return false;
    if (!accepted) {
      end();
      return false;
    }
  }
  if (state_ != State::kAlive) {
    state_ = State::kAlive;
    observer_->on_alive();
  }
  return state_ != State::kEnded;
}

// The deadline is the earliest of the timeout, the startup deadline and the deadline of an incomplete object.
void WatchConnection::set_read_deadline(Duration timeout) {
  const TimePoint object_deadline = splitter_.is_inside_object() ? object_deadline_ : startup_deadline_;
  deadline_timer_.expires_at(std::min({from_now(timeout), startup_deadline_, object_deadline}));
  deadline_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled || Clock::Steady::now() < self->deadline_timer_.expiry()) return;
    self->on_deadline();
  });
}

void WatchConnection::on_deadline() {
  if (state_ == State::kEnded) return;
  splitter_.is_inside_object() ? end_malformed() : end();
}

void WatchConnection::end_malformed() {
  observer_->on_malformed();
  end();
}

void WatchConnection::end() {
  Observer* const observer = std::exchange(observer_, nullptr);
  close();
  if (observer != nullptr) observer->on_ended();
}

void WatchConnection::detach() {
  observer_ = nullptr;
  close();
}

void WatchConnection::close() {
  state_ = State::kEnded;
  error_code ignored;
  cancel_timer(deadline_timer_);
  socket_.close(ignored);
}

}  // namespace nettleyoke::node
