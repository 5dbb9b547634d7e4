#include "downstream/downstream_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace nettleyoke::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// s; from the connection to the last byte of its first request. Who has not asked by then is told so or
// closed on within 3 s.
constexpr double kFirstWait = 2.5;
constexpr double kReadWait = 2.5;  // s; from the first byte of a later request to the end of its head
// A body may come at this many bytes a second, half of what the slowest of those that are owed an answer
// send, after a start of so many s; and it may pause for so many s.
constexpr double kSlowest = 32e3, kBodyStart = 1.5, kBodyPause = 0.8;
// Bytes of a body that are held, while no more than a part of the memory is in use, before a server is asked
// for. Danger: a caller that takes seconds to send would hold a server, and count as a call in flight, for as
// long.
constexpr std::size_t kHeldBody = std::size_t{1} * 1024 * 1024;
constexpr double kSlowPart = 0.75, kQuickPart = 0.25;
constexpr double kQuick = 1e6;         // bytes a second; a body that comes so is quick
constexpr double kIdleWait = 10;       // s; between requests
constexpr double kErrorPause = 0.1;    // s; after an error of the caller's, before the next request is read
constexpr double kWriteWait = 5;       // s; for a client to take an answer
constexpr double kUnreadLinger = 2.5;  // s; the same for one that is still sending its request
constexpr double kLinger = 0.5;  // s; for a client to read the last answer before the connection is closed
// A drain, in s from its start. It is killed once the longest time that a client waits, or 3 s, and 0.7 s
// more have gone by: by then all that was taken is answered. Clients go on using their connections as long as
// these stay open, and where no other node stands beside this one they have nowhere else to go.
constexpr double kMostDrain = 3;
constexpr double kLastAnswer = 0.35;  // after that longest wait, or 3 s
constexpr double kLastRequest = 0.2;  // before it
// Of its connections that a drain keeps free, one in so many. Danger: no new ones come any more, and clients
// that once find none free turn from the node for good, though it could serve them for seconds. Several may
// ask before the first that is refused has its connection back.
constexpr std::size_t kFreePart = 4;
constexpr double kLook = 0.1;          // s; between looks at a client that is not read from while it waits
constexpr double kAcceptOn = 0.5;      // s; of accepting after the drain has begun
constexpr double kAcceptPause = 0.02;  // s; after an accept that failed
constexpr std::size_t kReadSize = 4096;
// Bytes that may wait to be parsed: a whole head, or as much of requests that came before their turn.
constexpr std::size_t kMostAhead = kHeaderLimit + kReadSize;
constexpr std::size_t kMostLingered =
    std::size_t{256} * 1024;  // bytes that are passed over after the last answer
constexpr std::size_t kKeptAhead =
    kReadSize;                           // bytes of read-ahead that an idle connection may keep room for
constexpr std::size_t kHeadCost = 1024;  // bytes; what a request holds besides its body, about
constexpr int kBacklog = 1024;
// s. A new caller that has sent nothing for so long is none; and a connection between two requests may be
// closed after so long, as the operators' terms have it.
constexpr double kSilent = 0.5, kMayClose = 2;
constexpr double kLate = 2;  // s; how long after a reload callers may still ask as they did before

std::string decimal_seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return text.data();
}

// A request on its way, with what it holds of the memory.
struct Message {
  explicit Message(MemoryBudget& budget) : share(budget) {}
  OutgoingRequest out;
  MemoryBudget::Reservation share;
};

}  // namespace

// One client's connection. A read on it, or a look now and then, notices a client that goes; what comes ahead
// of its turn is kept, up to a bound.
class DownstreamServer::ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(DownstreamServer& owner, tcp::socket socket, bool turned_away)
      : owner_(&owner),
        socket_(std::move(socket)),
        timer_(owner.io_),
        presence_(owner.io_),
        turned_away_(turned_away),
        share_(owner.budget_) {}

  void start() {
    allow(owner_->closing_ ? kLinger : kFirstWait);
    next_request();
  }
  // Takes it off the list of those that may be closed for others.
  void unlist() {
    if (list_ != nullptr) std::exchange(list_, nullptr)->erase(listed_at_);
  }

  std::list<std::shared_ptr<ClientConnection>>::iterator at;  // in the owner's list

  // Has sent nothing of a request for at least so many s.
  bool is_quiet(double seconds) const {
    return !begun_ && Clock::Steady::now() - quiet_since_ >= Clock::span(seconds);
  }
  bool is_idle() const { return state_ == State::kReading && ahead_.size() == 0 && !begun_; }
  // Whether its first request may be on its way.
  bool is_new() const { return !proven_ && !is_quiet(kSilent); }
  bool has_unread() {
    error_code ignored;
    return coming_ || socket_.available(ignored) > 0;
  }
  // What is not a request by then is none.
  void hurry() {
    if (state_ == State::kReading || state_ == State::kPausing) allow(kLinger);
  }
  // Ends it for others' sake. Who has begun to ask is told so, as far as that goes without waiting.
  void make_way() {
    if (begun_) {
      HttpResponse answer = refusal(owner_->limits_.busy_retry_after);
      answer.keep_alive(false);
      answer.prepare_payload();
      std::ostringstream text;
      text << answer;
      const std::string bytes = std::move(text).str();
      [[maybe_unused]] const ssize_t sent =
          ::send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    close();
  }
  // Ends it without a word.
  void close() {
    if (state_ == State::kClosed) return;
    const bool waiting = state_ == State::kWaiting;
    state_ = State::kClosed;
    error_code ignored;
    unlist();
    halt(timer_);
    halt(presence_);
    socket_.close(ignored);
    let_go();
    DownstreamServer* owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    if (waiting) owner->dispatcher_.on_client_disconnected(id_);
    if (counted_)
      owner->metrics_.request_ended(*std::exchange(counted_, std::nullopt), RequestResult::kFailed);
    owner->ended(*this);
  }
  void orphan() {
    unlist();
    let_go();
    owner_ = nullptr;
  }

 private:
  enum class State { kReading, kWaiting, kWriting, kPausing, kLingering, kClosed };

  void allow(double seconds) {
    timer_.expires_after(Clock::span(seconds));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && Clock::Steady::now() >= self->timer_.expiry()) self->timed_out();
    });
  }

  void timed_out() {
    if (owner_ == nullptr) return;
    // Danger: the last turn before a node closes its connections may have been read already.
    if (state_ == State::kPausing && (!owner_->closing_ || ahead_.size() > 0)) {
      allow(owner_->closing_ ? kLinger : kIdleWait);
      return next_request();
    }
    if (state_ == State::kReading && begun_)
      return reject({http::status::request_timeout, "request too slow"});
    // What has come in this very instant is read next.
    if (state_ == State::kReading && has_unread()) return allow(kLinger);
    if (state_ != State::kWaiting || upload_) close();
  }

  // Bodies that are on their way: the other side learns that nobody is here any more.
  void let_go() {
    if (upload_) std::exchange(upload_, nullptr)->abort();
    if (download_) std::exchange(download_, nullptr)->close_reader();
  }

  // ---------------------------------------------------------------- reading

  void next_request() {
    state_ = State::kReading;
    begun_ = false;
    quiet_since_ = Clock::Steady::now();
    parser_.emplace();
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kBodyLimit);
    // Danger: when eager, this parser passes over its own body limit if the head and a part of the body come
    // together, and a length of gigabytes is then taken in.
    parser_->eager(false);
    body_.clear();
    came_ = 0;
    continue_sent_ = false;
    if (ahead_.size() > 0 && has_left()) return close();
    parse();
    if (state_ == State::kReading) {
      if (proven_ ? !begun_ : list_ == nullptr) enlist(proven_ ? owner_->idle_ : owner_->strangers_);
      if (!begun_) trim();
    }
    read();  // the turn may have come out of what was read ahead, and made room
  }

  void enlist(std::list<ClientConnection*>& list) {
    unlist();
    list_ = &list;
    listed_at_ = list.insert(list.end(), this);
  }

  // Guards against buffers that stay as large as the largest request that a connection has ever carried.
  void trim() {
    if (ahead_.capacity() > kKeptAhead) ahead_.shrink_to_fit();
    share_.resize(ahead_.capacity());
  }

  void read() {
    if (reading_ || state_ == State::kClosed) return;
    if (!may_read()) return look_after();
    // Danger: what is there already is read at once, and handed over in a later turn of the loop. Up to then
    // it is neither in the socket nor here, and the connection looks idle.
    coming_ = has_unread();
    reading_ = true;
    socket_.async_read_some(asio::buffer(scratch_),
                            [self = shared_from_this()](error_code bad, std::size_t n) {
                              self->reading_ = self->coming_ = false;
                              self->take(bad, n);
                            });
  }

  bool may_read() const {
    return ahead_.size() <= kMostAhead - kReadSize && (!upload_ || upload_->is_writable());
  }

  // While nothing more is taken in no read tells of a client that goes: it is looked for now and then.
  void look_after() {
    if (looking_ || state_ != State::kWaiting) return;
    looking_ = true;
    presence_.expires_after(Clock::span(kLook));
    presence_.async_wait([self = shared_from_this()](error_code) {
      self->looking_ = false;
      if (self->owner_ == nullptr || self->state_ != State::kWaiting) return;
      if (self->has_left()) return self->close();
      self->read();
    });
  }

  // Whether the client has closed its side, also behind bytes that are not read yet.
  bool has_left() {
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    return left_ || (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
  }

  // Danger: what a client wrote before it left is read before its end is, and may have waited for long: in
  // the listener's queue while there was no room, or in a loop that runs late. It would be sent on for
  // nobody.
  bool is_abandoned() {
    if (state_ != State::kWaiting) return true;
    if (!has_left()) return false;
    asio::post(socket_.get_executor(), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->state_ == State::kWaiting) self->close();
    });
    return true;
  }

  void take(error_code bad, std::size_t n) {
    if (owner_ == nullptr || state_ == State::kClosed) return;
    // A client that closes has gone, whatever it still has a right to.
    if (bad) {
      left_ = true;
      if (state_ != State::kWriting || download_) close();
      return;
    }
    if (state_ == State::kLingering) {
      lingered_ += n;
      if (lingered_ > (unread_ ? kBodyLimit : kMostLingered)) return close();
      return read();
    }
    const asio::mutable_buffer room = ahead_.prepare(n);
    std::copy_n(scratch_.begin(), n, static_cast<char*>(room.data()));
    ahead_.commit(n);
    if (state_ == State::kReading || upload_) parse();
    read();
  }

  // Feeds the parser with what has come, up to the end of one request, or as far as there is room for its
  // body.
  void parse() {
    while ((state_ == State::kReading || (upload_ && upload_->is_writable())) && ahead_.size() > 0) {
      if (!begun_) {
        begun_ = true;
        if (proven_) {
          unlist();
          allow(kReadWait);
        }
      }
      http::buffer_body::value_type& room = parser_->get().body();
      room.data = owner_->piece_.data();
      room.size = owner_->piece_.size();
      room.more = true;
      error_code bad;
      const bool had_head = parser_->is_header_done();
      const std::size_t used = parser_->put(ahead_.data(), bad);
      ahead_.consume(used);
      if (bad == http::error::need_more || bad == http::error::need_buffer) bad = {};
      if (bad == http::error::body_limit) return reject({http::status::payload_too_large, "body too large"});
      if (bad == http::error::header_limit) {
        return reject({http::status::request_header_fields_too_large, "header too large"});
      }
      if (bad) return reject({http::status::bad_request, "malformed request"});
      if (parser_->is_header_done() && !had_head) {
        if (!check_framing()) return;
        head_at_ = Clock::Steady::now();
      }
      if (!take_body(owner_->piece_.size() - room.size)) return;
      if (parser_->is_done()) return upload_ ? complete() : handle();
      if (used == 0) return;
    }
  }

  // Keeps, or passes on, so many bytes of the body; false where the request is not read on.
  bool take_body(std::size_t n) {
    const char* bytes = owner_->piece_.data();
    came_ += n;
    if (upload_) {
      upload_->write(bytes, n);
    } else {
      body_.append(bytes, n);
    }
    if (parser_->is_header_done() && !parser_->is_done()) {
      const double since = std::chrono::duration<double>(Clock::Steady::now() - head_at_).count();
      allow(std::min(kBodyPause, kBodyStart + static_cast<double>(came_) / kSlowest - since));
    }
    if (upload_) {
      if (!upload_->is_writable()) wait_for_room();
      return true;
    }
    const bool held = share_.try_resize(ahead_.capacity() + body_.capacity());
    if (held && body_.size() <= most_held()) return true;
    if (parser_->is_done()) return held || refuse_unread();
    if (body_.size() <= kWholeBody) return refuse_unread();
    upload_ = std::make_shared<BodyPipe>(owner_->io_, owner_->budget_, length());
    handle();
    return upload_ != nullptr;
  }

  // A slow caller's body is held while there is memory for it, a quick one's will not take a server for long.
  std::size_t most_held() const {
    const double since = std::chrono::duration<double>(Clock::Steady::now() - head_at_).count();
    const bool slow = static_cast<double>(came_) < kQuick * since;
    return owner_->budget_.is_under(slow ? kSlowPart : kQuickPart) ? kHeldBody : kWholeBody;
  }

  bool refuse_unread() {
    keep_alive_ = false;
    respond(refusal(owner_->limits_.busy_retry_after));
    return false;
  }

  // The server is slower than the caller, who can't help it.
  void wait_for_room() {
    halt(timer_);
    upload_->when_writable([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->owner_ == nullptr || !self->upload_) return;
      if (self->upload_->is_reader_closed()) return;  // the answer is on its way
      self->allow(kBodyPause);
      self->parse();
      self->read();
    });
  }

  std::optional<std::uint64_t> length() const {
    const auto told = parser_->content_length();
    return told ? std::optional<std::uint64_t>(*told) : std::nullopt;
  }

  // The last byte of a body that was passed on as it came.
  void complete() {
    if (has_left()) return close();  // so that the server never has it
    halt(timer_);
    std::exchange(upload_, nullptr)->finish();
    count_taken();
    owner_->dispatcher_.on_body_complete(id_);
  }

  // What the head says of the body, before the body has come.
  bool check_framing() {
    HttpRequest request;
    request.base() = parser_->get().base();
    // Danger: two ways to tell the length may hide a second request in the body.
    if (is_length_ambiguous(request)) {
      reject({http::status::bad_request, "ambiguous length"});
      return false;
    }
    if (!continue_sent_ && boost::beast::iequals(request[http::field::expect], "100-continue")) {
      continue_sent_ = true;
      // Danger: a write that is still out when the answer's begins would mix with it. Nothing else is being
      // written now, so that so few bytes go at once or not at all.
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      const ssize_t sent =
          ::send(socket_.native_handle(), kContinue.data(), kContinue.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent != static_cast<ssize_t>(kContinue.size())) {
        close();
        return false;
      }
    }
    return true;
  }

  // ---------------------------------------------------------------- what may be asked

  void handle() {
    request_.emplace();
    request_->base() = parser_->get().base();
    request_->body() = std::move(body_);
    body_ = {};
    keep_alive_ = request_->keep_alive();
    request_class_.reset();
    if (path_of(*request_) == "/_health") {
      if (request_->method() != http::verb::get && request_->method() != http::verb::head) {
        return reject({http::status::method_not_allowed, "GET only"});
      }
      proven_ = true;
      const bool well = owner_->dispatcher_.can_serve() && !owner_->draining_;
      return respond(
          plain(well ? http::status::ok : http::status::service_unavailable, well ? "ok\n" : "not ready\n"));
    }
    Request event;
    const bool late = Clock::Steady::now() < owner_->late_until_;
    if (const auto bad = read_request(*request_, owner_->catalog_, late, event))
      return reject(*bad, upload_ != nullptr);
    if (owner_->dispatcher_.is_open(event.id)) {
      return reject({http::status::bad_request, "X-Request-ID is that of an open request"},
                    upload_ != nullptr);
    }
    proven_ = true;
    request_class_ = owner_->catalog_.class_names[event.request_class];
    if (!upload_) count_taken();
    const auto message = std::make_shared<Message>(owner_->budget_);
    share_.resize(ahead_.capacity());  // the rest goes with the request
    if (!message->share.try_resize(kHeadCost + request_->body().capacity()))
      return respond(refusal(owner_->limits_.busy_retry_after));
    if (owner_->draining_) {
      const std::chrono::duration<double> left = owner_->last_answer_ - Clock::Steady::now();
      event.time_left = std::min(event.time_left, left.count());
    }
    const bool last_free =
        owner_->draining_ && !owner_->adopted_ &&
        owner_->idle_.size() + owner_->strangers_.size() < owner_->sessions_.size() / kFreePart;
    if (turned_away_ || last_free || event.time_left <= 0)
      return respond(refusal(owner_->limits_.busy_retry_after));
    id_ = event.id;
    drop_hop_by_hop(*request_);
    request_->erase("X-Timeout-Ms");
    if (!upload_) {
      request_->prepare_payload();
    } else if (const auto whole = upload_->length()) {
      request_->content_length(*whole);
    } else {
      request_->chunked(true);
    }
    request_->version(11);
    message->out.request = std::move(*request_);
    message->out.rest = upload_;
    message->out.is_abandoned = [weak = weak_from_this()] {
      const auto self = weak.lock();
      return !self || self->is_abandoned();
    };
    request_.reset();
    state_ = State::kWaiting;
    unlist();
    if (!upload_) halt(timer_);
    owner_->dispatcher_.accept(std::move(event), {message, &message->out},
                               [weak = weak_from_this()](FinalAnswer&& answer) {
                                 if (const auto self = weak.lock()) self->answer(std::move(answer));
                               });
  }

  // ---------------------------------------------------------------- answers

  static RequestResult end_of(http::status status) {
    if (status == http::status::ok) return RequestResult::kServed;
    const bool refused =
        status == http::status::service_unavailable || status == http::status::too_many_requests;
    return refused ? RequestResult::kRejected : RequestResult::kFailed;
  }

  void count_taken() {
    if (!request_class_) return;
    counted_ = std::exchange(request_class_, std::nullopt);
    owner_->metrics_.request_started();
  }

  // The last byte of the answer to a request that was taken is written.
  void count(RequestResult how) {
    if (counted_) owner_->metrics_.request_ended(*std::exchange(counted_, std::nullopt), how);
  }

  static HttpResponse plain(http::status status, const std::string& text) {
    HttpResponse out(status, 11);
    out.set(http::field::content_type, "text/plain");
    out.body() = text;
    return out;
  }

  static HttpResponse refusal(double retry_after) {
    HttpResponse out = plain(http::status::service_unavailable, "refused\n");
    if (retry_after > 0) out.set(http::field::retry_after, decimal_seconds(retry_after));
    return out;
  }

  // An error of the caller's. After one that leaves the framing in doubt nothing more is read as requests.
  void reject(const Rejected& why, bool lost = true) {
    if (lost) keep_alive_ = false;
    if (state_ == State::kWaiting)
      owner_->dispatcher_.on_client_disconnected(id_);  // its body went wrong on the way
    pause_ = true;
    respond(plain(why.status, std::string(why.text) + "\n"));
  }

  void answer(FinalAnswer&& answer) {
    if (state_ != State::kWaiting || owner_ == nullptr) return;
    switch (answer.kind) {
      case FinalAnswer::Kind::kServed:
        drop_hop_by_hop(answer.response);
        if (answer.body) return relay(std::move(answer));
        return respond(std::move(answer.response));
      case FinalAnswer::Kind::kRejected:
        return respond(refusal(answer.retry_after));
      case FinalAnswer::Kind::kFailed:
        return respond(plain(http::status::bad_gateway, "failed\n"));
    }
  }

  // Whatever the answer is, it is the end of the request.
  void begin_answer() {
    if (proven_) unlist();
    state_ = State::kWriting;
    count_taken();
    unread_ = !parser_->is_done() && parser_->is_header_done();
    if (unread_) keep_alive_ = false;
    let_go();
    if (owner_->closing_ || owner_->is_handing_over() || turned_away_) keep_alive_ = false;
  }

  void respond(HttpResponse&& response) {
    begin_answer();
    share_.resize(ahead_.capacity() + response.body().size());
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    allow(kWriteWait);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ == nullptr || self->state_ != State::kWriting) return;
      if (bad) return self->close();
      self->written();
    });
  }

  // The last byte of the answer is written.
  void written() {
    count(end_of(response_.result()));
    response_ = {};
    share_.resize(ahead_.capacity());
    if (left_) return close();
    if (!keep_alive_) return linger();
    if (std::exchange(pause_, false)) {
      // Guards the others against one who asks the same again at full speed: he is read from now and then.
      state_ = State::kPausing;
      return allow(kErrorPause);
    }
    // Danger: one that is let stay is there when the process is killed, and so is what was sent on it by
    // then.
    allow(owner_->closing_ ? kLinger : kIdleWait);
    next_request();
  }

  // Passes a large answer on as it comes.
  void relay(FinalAnswer&& answer) {
    begin_answer();
    download_ = std::move(answer.body);
    response_.base() = answer.response.base();
    relayed_.emplace();
    relayed_->base() = std::move(answer.response.base());
    relayed_->version(11);
    if (const auto whole = download_->length()) {
      relayed_->content_length(*whole);
    } else if (parser_->get().version() >= 11) {
      relayed_->chunked(true);
    } else {
      keep_alive_ = false;  // its end is that of the connection
    }
    relayed_->keep_alive(keep_alive_);
    relayed_->body().more = true;
    serializer_.emplace(*relayed_);
    allow(kWriteWait);
    http::async_write_header(socket_, *serializer_, [self = shared_from_this()](error_code bad, std::size_t) {
      self->relay_more(bad);
    });
  }

  void relay_more(error_code bad) {
    if (owner_ == nullptr || state_ != State::kWriting || !download_) return;
    if (bad && bad != http::error::need_buffer) return close();
    piece_out_ = download_->take();
    const bool last = piece_out_.empty() && download_->is_complete();
    if (piece_out_.empty() && !last) {
      if (download_->is_aborted()) return cut_off();
      halt(timer_);  // it is the server that is waited for
      return download_->when_readable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->relay_more({});
      });
    }
    http::buffer_body::value_type& out = relayed_->body();
    out.data = last ? nullptr : piece_out_.data();
    out.size = piece_out_.size();
    out.more = !last;
    allow(kWriteWait);
    http::async_write(socket_, *serializer_,
                      [self = shared_from_this(), last](error_code problem, std::size_t) {
                        if (!last) return self->relay_more(problem);
                        if (self->owner_ == nullptr || self->state_ != State::kWriting) return;
                        if (problem) return self->close();
                        self->download_.reset();
                        self->serializer_.reset();
                        self->relayed_.reset();
                        self->written();
                      });
  }

  // The server broke off. Danger: where the end of the connection is that of the answer, an orderly one would
  // pass for the whole.
  void cut_off() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  // Danger: closing with unread bytes resets the connection, and the client may lose the answer.
  void linger() {
    state_ = State::kLingering;
    // Danger: with a buffer that is full nothing more would be read, and the close would reset the
    // connection.
    ahead_.clear();
    ahead_.shrink_to_fit();
    error_code bad;
    socket_.shutdown(tcp::socket::shutdown_send, bad);
    if (bad) return close();
    allow(unread_ ? kUnreadLinger : kLinger);
    read();
  }

  DownstreamServer* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_, presence_;
  bool turned_away_;
  State state_ = State::kReading;
  bool reading_ = false, looking_ = false;    // a read is out; a look at whether the client is there
  bool coming_ = false;                       // that read finds something
  bool left_ = false;                         // it has closed its side
  bool proven_ = false;                       // has asked for something that can be served
  bool pause_ = false;                        // after this answer
  bool begun_ = false;                        // a byte of the request has come
  std::optional<std::string> request_class_;  // of a request whose last byte has not come yet
  std::optional<std::string> counted_;  // the class of a request that was taken and has no whole answer yet
  bool keep_alive_ = true, continue_sent_ = false;
  std::array<char, kReadSize> scratch_{};
  boost::beast::flat_buffer ahead_;
  MemoryBudget::Reservation
      share_;  // of read-ahead, and of the body that is coming or the answer that is going
  std::list<ClientConnection*>* list_ = nullptr;
  std::list<ClientConnection*>::iterator listed_at_;
  std::size_t lingered_ = 0;
  Clock::Steady::time_point quiet_since_;  // when it was last ready for a request
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::string body_;                    // as far as it has come and is held
  std::size_t came_ = 0;                // bytes of the body
  Clock::Steady::time_point head_at_;   // when the head was whole
  std::shared_ptr<BodyPipe> upload_;    // where the rest of the body goes, until it is all there
  bool unread_ = false;                 // the answer came before the request was all there
  std::shared_ptr<BodyPipe> download_;  // where the body of a large answer comes from
  std::optional<http::response<http::buffer_body>> relayed_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;
  std::string piece_out_;
  std::optional<HttpRequest> request_;
  std::string id_;
  HttpResponse response_;
};

DownstreamServer::DownstreamServer(asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics)
    : io_(io),
      acceptor_(io),
      timer_(io),
      limits_(limits),
      catalog_(std::move(catalog)),
      budget_(budget),
      dispatcher_(dispatcher),
      metrics_(metrics),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {}

void DownstreamServer::listen(const tcp::endpoint& where) {
  tcp::acceptor acceptor(io_, where.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(where);
  acceptor.listen(kBacklog);
  acceptor_ = std::move(acceptor);
}

void DownstreamServer::serve_on_inherited_listener(int listener) {
  acceptor_.assign(tcp::v4(), listener);
  adopted_ = true;
}

void DownstreamServer::replace_catalog(RequestCatalog catalog, double busy_retry_after) {
  catalog_ = std::move(catalog);
  limits_.busy_retry_after = busy_retry_after;
  late_until_ = Clock::Steady::now() + Clock::span(kLate);
}

DownstreamServer::~DownstreamServer() {
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->orphan();
  if (spare_ >= 0) ::close(spare_);
}

void DownstreamServer::start() { accept(); }

void DownstreamServer::accept() {
  if (stopping_) return stop_accepting();
  if (accepting_ || !acceptor_.is_open() || sessions_.size() >= limits_.most + limits_.overflow) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    accepting_ = false;
    if (bad == asio::error::operation_aborted) return;
    if (bad) return accept_failed();
    admit(std::move(socket));
    accept();
  });
}

// Handles an accept that failed for want of a descriptor: a listener that stays readable with nothing
// accepted would spin, and clients in its queue would wait in vain. An evictable connection is closed, or
// else the reserved descriptor takes one client in, to be rejected: its request may have come already. The
// system reports the missing descriptor also while the queue is empty. Then the reserved descriptor is taken
// back at once; left free, it would admit the next client as one that can be served, and leave its attempts
// without a descriptor.
void DownstreamServer::accept_failed() {
  const bool has_way = evict();
  if (!has_way && spare_ >= 0) ::close(std::exchange(spare_, -1));
  error_code bad;
  tcp::socket socket(io_);
  acceptor_.non_blocking(true, bad);
  acceptor_.accept(socket, bad);
  if (!bad) {
    admit(std::move(socket), !has_way);
  } else if (spare_ < 0) {
    spare_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  }
  timer_.expires_after(Clock::span(kAcceptPause));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void DownstreamServer::admit(tcp::socket socket, bool by_spare) {
  const bool full = by_spare || (sessions_.size() >= limits_.most && !evict());
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<ClientConnection>(*this, std::move(socket), full);
  session->at = sessions_.insert(sessions_.end(), session);
  session->start();
}

// Danger: by idle time alone, hundreds of connections that say nothing push out the callers that wait between
// two requests. Who has never asked for anything goes first, the one that has been there the longest before
// the others. But one that is sending its first request, which may take it 2 s, stays while there are
// connections that may be closed without harm: those that asked once and stay would push it out.
bool DownstreamServer::evict() {
  const auto close_one = [](const std::list<ClientConnection*>& list, double quiet) {
    for (ClientConnection* session : list) {
      if ((quiet > 0 && !session->is_quiet(quiet)) || session->has_unread()) continue;
      session->make_way();
      return true;
    }
    return false;
  };
  return close_one(strangers_, kSilent) || close_one(idle_, kMayClose) || close_one(strangers_, 0) ||
         close_one(idle_, 0);
}

void DownstreamServer::ended(ClientConnection& session) {
  sessions_.erase(session.at);
  if (spare_ < 0) spare_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  end_if_drained();
  if (!stopping_) return accept();
  asio::post(io_, [this] { accept(); });  // this may be from within its loop
}

void DownstreamServer::drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  // Danger: classes that are no longer in force tell nothing of when the kill comes, and what is open of them
  // may still take its time.
  double longest = 0;
  for (std::size_t i = 0; i < catalog_.in_force; ++i)
    longest = std::max(longest, std::min(catalog_.classes[i].client_timeout, kMostDrain));
  dispatcher_.bound_answers(kMostDrain + kLastAnswer);
  last_answer_ = Clock::Steady::now() + Clock::span(longest + kLastAnswer);
  const auto after = [this](double seconds, void (DownstreamServer::*step)()) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(seconds));
    timer->async_wait([this, timer, step](error_code) { (this->*step)(); });
  };
  if (adopted_) {
    error_code ignored;
    acceptor_.close(ignored);  // others hold it open, and what waits there is theirs
    end_if_drained();
  } else {
    after(kAcceptOn, &DownstreamServer::stop_accepting);
  }
  after(std::max(kAcceptOn, longest - kLastRequest), &DownstreamServer::close_idle);
}

// What has come up to now is still taken in. Danger: what waits in the queue when the listener closes is
// reset, whatever has been written to it: it closes once the queue is empty, and goes on as room comes.
void DownstreamServer::stop_accepting() {
  stopping_ = true;
  error_code bad;
  acceptor_.non_blocking(true, bad);
  while (acceptor_.is_open() && (sessions_.size() < limits_.most + limits_.overflow || evict())) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, bad);
    if (bad == asio::error::would_block) acceptor_.close(bad);
    if (bad) return accept_failed();
    if (socket.is_open()) admit(std::move(socket));
  }
  end_if_drained();
}

void DownstreamServer::close_idle() {
  closing_ = true;
  std::vector<std::shared_ptr<ClientConnection>> quiet;
  for (const std::shared_ptr<ClientConnection>& session : sessions_) {
    if (session->is_idle() && !session->is_new() && !session->has_unread()) {
      quiet.push_back(session);
    } else {
      session->hurry();
    }
  }
  for (const std::shared_ptr<ClientConnection>& session : quiet) session->close();
  end_if_drained();
}

void DownstreamServer::end_if_drained() {
  if (draining_ && drained_ && !acceptor_.is_open() && sessions_.empty()) {
    asio::post(io_, std::exchange(drained_, nullptr));
  }
}

}  // namespace nettleyoke::node
