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

// Without a byte on a watch that is open. An empty line comes every 2 s: one that is missed, and some
// lateness, show that the watch is dead. A change counts as notified 6 s later, so that more patience breaks
// a drain.
constexpr milliseconds kMaxSilence{3000};
// For the connection, and for the head of a response from an agent that answers at once. With the patience
// for a watch that is open, a second one that fails too would take all the time until what is missed counts
// as notified.
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kHeadTimeout{1000};
// From the connect; by then such an agent has sent something, and the complete list where that is owed. Parts
// that are each in time add up, behind a silence, to more than until a change counts as notified.
constexpr milliseconds kFirstListTimeout{2000};
// For nothing more to come amid an object, and for all of it.
constexpr milliseconds kObjectStallTimeout{1000};
constexpr milliseconds kObjectTimeout{1500};

constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;

Clock::Steady::time_point from_now(Clock::Steady::duration duration) {
  return Clock::Steady::now() + duration;
}

}  // namespace

WatchConnection::WatchConnection(asio::io_context& io, Observer& observer, bool responds_immediately)
    : observer_(&observer), socket_(io), deadline_(io), responds_immediately_(responds_immediately) {}

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
  owes_list_ = responds_immediately_ && after_version == 0;
  call_limit_ = from_now(responds_immediately_ ? kFirstListTimeout : kMaxSilence);
  expect_bytes_within(kConnectTimeout);
  socket_.async_connect(address, [self = shared_from_this()](error_code error) {
    if (error || self->state_ == State::kEnded) return self->end();
    self->send_request();
  });
}

void WatchConnection::send_request() {
  state_ = State::kAwaitingHead;
  expect_bytes_within(responds_immediately_ ? kHeadTimeout : kMaxSilence);
  http::async_write(socket_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->end();
    self->read();
  });
}

void WatchConnection::read() {
  http::async_read_some(socket_, buffer_, parser_,
                        [self = shared_from_this()](error_code error, std::size_t) { self->on_read(error); });
}

// An error may come with the last bytes of a response, which count first.
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
    if (is_first) expect_bytes_within(responds_immediately_ ? kHeadTimeout : kMaxSilence);
    return;
  }
  // An object may take its time, and no longer for the bytes that it still brings.
  bool object_begins = !splitter_.is_inside_object();
  splitter_.append(body);
  body.clear();
  std::string object;
  for (auto item = splitter_.next(object); item != ObjectSplitter::Item::kNone;
       item = splitter_.next(object)) {
    if (!on_item(item, object)) return;
    object_begins = true;
  }
  // A call that had to wait has had its turn; the time that it waited is not the list's.
  if (!responds_immediately_ || (state_ == State::kAlive && !owes_list_)) call_limit_ = TimePoint::max();
  if (object_begins) object_limit_ = from_now(kObjectTimeout);
  expect_bytes_within(splitter_.is_inside_object() ? kObjectStallTimeout : kMaxSilence);
}

// False once the watch has ended, be it by what the observer did.
bool WatchConnection::on_item(ObjectSplitter::Item item, const std::string& object) {
  if (item == ObjectSplitter::Item::kMalformed) {
    end_malformed();
    return false;
  }
  if (item == ObjectSplitter::Item::kObject) {
    owes_list_ = false;
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

// Also within the limits on the whole call and on an object that has begun.
void WatchConnection::expect_bytes_within(Duration patience) {
  const TimePoint object_limit = splitter_.is_inside_object() ? object_limit_ : call_limit_;
  deadline_.expires_at(std::min({from_now(patience), call_limit_, object_limit}));
  deadline_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled || Clock::Steady::now() < self->deadline_.expiry()) return;
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
  halt(deadline_);
  socket_.close(ignored);
}

}  // namespace nettleyoke::node
