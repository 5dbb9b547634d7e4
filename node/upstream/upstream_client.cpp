#include "upstream/upstream_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <cmath>
#include <deque>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace nettleyoke::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// A connection is dropped this part of the idle limit early. Danger: a request written to it as the server
// closes it ends as a reset, which an unsafe class can't repeat.
constexpr double kIdlePart = 0.85;
constexpr int kMostInterim = 8;  // 1xx answers ahead of an answer
// s. A connection rests this long after an answer before it carries the next request. Danger: what some
// servers send behind an answer, such as a second copy of it, may come a moment later and would pass for the
// next answer.
constexpr double kRest = 0.004;
// s. An answer that has begun and is not whole after this long is given up. Danger: one that stops half-way,
// or comes a few bytes at a time, would hold its request until its whole time is gone, though another server
// could still answer it.
constexpr double kWhole = 0.25;
// Bytes a second. One that is not known to be small and has come as fast as this is a large one that moves:
// the slowest that peers are said to send bodies at.
constexpr double kSlowest = 64e3;
// s. A large answer whose server is silent for so long is broken off, and a large request that its server
// does not read from.
constexpr double kSilence = 3;
constexpr std::size_t kCopied = std::size_t{16} * 1024;  // bytes of a body that are sent along with its head
constexpr std::size_t kPiece = std::size_t{16} * 1024;   // bytes of a body that are parsed at a time
// Bytes of an answer that may wait to be parsed: a whole head and some more. Danger: a parser asks for more
// of a line that does not end, as in the extension of a chunk, for as long as there is room.
constexpr std::size_t kMostUnparsed = kHeaderLimit + 16 * 1024;
constexpr std::size_t kKeptBuffer = 4096;  // bytes of buffer that an idle connection may keep

// Whether the server has closed it or sent what nobody asked for. The event loop may not have come to it yet.
bool is_readable(tcp::socket& socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

constexpr const char* kLastChunk = "0\r\n\r\n";

// A piece of a body as it goes on the wire: in a chunk where the rest has no length.
std::string framed(const std::string& piece, const std::shared_ptr<BodyPipe>& rest) {
  if (!rest || rest->length() || piece.empty()) return piece;
  std::ostringstream out;
  out << std::hex << piece.size() << "\r\n" << piece << "\r\n";
  return std::move(out).str();
}

Outcome outcome_of(const HttpResponse& answer) {
  switch (answer.result_int()) {
    case 200:
      return Outcome::kSucceeded;
    case 503:
    case 504:
      // Danger: without the mark it may be the word of a tier behind, and the request may have run.
      return answer["X-Not-Processed"] == "1" ? Outcome::kRejected : Outcome::kServerError;
    default:
      return Outcome::kServerError;
  }
}

}  // namespace

class UpstreamClient::Connection {
 public:
  Connection(asio::io_context& io, std::shared_ptr<Pool> of) : socket(io), timer(io), pool(std::move(of)) {}
  tcp::socket socket;
  asio::steady_timer timer;  // for the dial, then for idling
  boost::beast::flat_buffer buffer{kMostUnparsed};
  std::shared_ptr<Pool> pool;
  tcp::endpoint where;
  std::uint64_t process = 0;         // which process of the server it leads to
  std::uint64_t idle_turn = 0;       // tells a wait of this idling from one of an earlier one
  Clock::Steady::time_point rested;  // when it may carry the next request
  bool idle = false, dialling = true;
};

struct UpstreamClient::Pool {
  tcp::endpoint where;
  double started = 0;
  std::uint64_t process = 1;  // counts the starts that were told
  bool usable = false;
  std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  // For a connection; each has a dial under way, or one that rests is about to be free.
  std::deque<std::shared_ptr<Attempt>> waiting;
  std::size_t dialling = 0;
  std::size_t rests = 0;  // waits for a connection to have rested
};

class UpstreamClient::Attempt {
 public:
  Attempt(asio::io_context& io, MemoryBudget& budget, AttemptCallbacks to)
      : timer(io), whole(io), report(std::move(to)), share(budget) {}
  asio::steady_timer timer;
  asio::steady_timer
      whole;  // since the first byte of the answer; then, and before, for a peer that is silent
  AttemptCallbacks report;
  std::shared_ptr<const OutgoingRequest> request;
  std::shared_ptr<BodyPipe> rest;  // of the request's body; empty once all of it is in `wire`
  double timeout = 0;
  Clock::Steady::time_point begun = Clock::Steady::now();  // when it was sent, or is taken to be
  Clock::Steady::time_point until, first_byte;
  Clock::Steady::time_point deadline;  // as its server is told
  Clock::Steady::time_point send_until = Clock::Steady::time_point::max();
  std::string wire;                              // the request as it is sent; empty again once it is out
  std::shared_ptr<const std::string> start_out;  // what follows it, where that is too large to have twice
  bool head_out = false;                         // the wire is out, and this is being sent
  std::size_t written = 0;
  bool watched = false;   // its connection, for a server that breaks off before it has it all
  bool streamed = false;  // the request's body was still coming when it began
  bool sent = false;      // its last byte is written: from here on it may have run
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::vector<char> piece;             // of the body, as it is parsed
  std::string body;                    // of an answer that stays whole
  std::shared_ptr<BodyPipe> body_out;  // of one that does not
  std::shared_ptr<Connection> connection;
  std::shared_ptr<Pool> pool;
  MemoryBudget::Reservation share;  // of the request as it is sent, then of the answer as it comes
  int interim = 0;
  bool ending = false;  // nothing more of it goes out
  bool ended = false;

  bool is_abandoned() const { return request->is_abandoned && request->is_abandoned(); }
  void begin(UpstreamClient& owner, const std::shared_ptr<Attempt>& self, std::shared_ptr<Connection> on);
  void write(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void read(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void read_more(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void begin_answer(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void end_by(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void expect(UpstreamClient& owner, const std::shared_ptr<Attempt>& self, Outcome otherwise);
  bool next_of_rest(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  bool is_large() const;
  bool moves() const;
  void stream(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
  void came(UpstreamClient& owner, const std::shared_ptr<Attempt>& self, error_code problem, std::size_t n);
  HttpResponse head() const;
  double elapsed() const;
  void answered(UpstreamClient& owner, const std::shared_ptr<Attempt>& self);
};

UpstreamClient::UpstreamClient(asio::io_context& io, const Limits& limits, MemoryBudget& budget,
                               Metrics& metrics)
    : io_(io), limits_(limits), budget_(budget), metrics_(metrics) {}

UpstreamClient::~UpstreamClient() {
  *alive_ = false;
  for (auto& [name, pool] : pools_) {
    drop_idle(*pool);
    pool->waiting.clear();  // attempts and pools hold each other
  }
}

void UpstreamClient::update_server(const std::string& server, const tcp::endpoint& where, double started,
                                   bool usable) {
  std::shared_ptr<Pool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<Pool>();
  const bool same = pool->where == where && pool->started == started;
  if (!same) pool->process += 1;
  pool->started = started;
  pool->usable = usable;
  if (where.port() != 0) pool->where = where;
  if (!same || !usable) drop_idle(*pool);
}

void UpstreamClient::remove_server(const std::string& server) {
  const auto at = pools_.find(server);
  if (at == pools_.end()) return;
  const std::shared_ptr<Pool> pool = at->second;
  pool->usable = false;
  drop_idle(*pool);
  pools_.erase(at);  // what is still out on its connections holds on to it; names are ever new
  // Danger: another server may stand at its address by now, and take in what was meant for this one. The
  // module hears of the end after it has heard that the server is gone.
  const std::deque<std::shared_ptr<Attempt>> waiting = pool->waiting;
  for (const std::shared_ptr<Attempt>& attempt : waiting) end_later(attempt, Outcome::kConnectFailed);
}

UpstreamClient::AttemptHandle UpstreamClient::start_attempt(
    const std::string& server, const std::shared_ptr<const OutgoingRequest>& request,
    const AttemptTimes& times, AttemptCallbacks report) {
  const auto attempt = std::make_shared<Attempt>(io_, budget_, std::move(report));
  const auto at = pools_.find(server);
  if (at == pools_.end() || !(times.timeout > 0) || !request->is_complete()) {
    end_later(attempt, Outcome::kNotSent);
    return attempt;
  }
  attempt->pool = at->second;
  attempt->request = request;
  attempt->rest = request->rest;
  attempt->streamed = request->rest != nullptr;
  attempt->timeout = times.timeout;
  if (attempt->is_abandoned()) {
    end_later(attempt, Outcome::kCancelled);
    return attempt;
  }
  const Clock::Steady::time_point now = Clock::Steady::now();
  attempt->deadline = now + Clock::span(std::max(times.timeout, times.deadline));
  if (times.send_within) attempt->send_until = now + Clock::span(*times.send_within);
  attempt->end_by(*this, attempt);
  if (std::shared_ptr<Connection> connection = take_idle(*attempt->pool)) {
    attempt->begin(*this, attempt, std::move(connection));
  } else if (attempt->pool->idle.size() > attempt->pool->waiting.size()) {
    // One that rests will be free sooner than a new one is up.
    attempt->pool->waiting.push_back(attempt);
    serve_rested(attempt->pool);
  } else if (make_room()) {
    attempt->pool->waiting.push_back(attempt);
    dial(attempt->pool);
  } else {
    end_later(attempt, Outcome::kNotSent);
  }
  return attempt;
}

// Danger: a connection may come up, or have rested, before the end is told, and the attempt would still begin
// on it: it leaves its place at once, and what is half out stays so.
void UpstreamClient::end_later(std::shared_ptr<Attempt> attempt, Outcome outcome) {
  attempt->ending = true;
  leave_queue(*attempt);
  asio::post(io_, [this, alive = alive_, attempt = std::move(attempt), outcome] {
    if (*alive) finish(attempt, outcome, false);
  });
}

void UpstreamClient::cancel(const AttemptHandle& handle) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (!attempt || attempt->ended) return;
  end_later(attempt, Outcome::kCancelled);
}

void UpstreamClient::withdraw_unsent(const AttemptHandle& handle) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (attempt && !attempt->sent) cancel(handle);
}

// The one that has waited the longest for a connection gets none.
void UpstreamClient::fail_first(Pool& pool) {
  const std::shared_ptr<Attempt> first = pool.waiting.front();
  finish(first, Outcome::kConnectFailed, false);
}

void UpstreamClient::leave_queue(const Attempt& attempt) {
  if (!attempt.pool) return;
  std::erase_if(attempt.pool->waiting, [&](const auto& waits) { return waits.get() == &attempt; });
}

// ---------------------------------------------------------------- connections

void UpstreamClient::dial(const std::shared_ptr<Pool>& pool) {
  const auto connection = std::make_shared<Connection>(io_, pool);
  connection->where = pool->where;
  pool->dialling += 1;
  connections_ += 1;
  connection->timer.expires_after(Clock::span(limits_.connect_timeout));
  connection->timer.async_wait([this, alive = alive_, connection](error_code cancelled) {
    if (!cancelled && *alive) dialled(connection->pool, connection, false);
  });
  connection->socket.async_connect(pool->where, [this, alive = alive_, connection](error_code problem) {
    if (*alive) dialled(connection->pool, connection, !problem);
  });
}

void UpstreamClient::dialled(const std::shared_ptr<Pool>& pool, const std::shared_ptr<Connection>& connection,
                             bool up) {
  if (!std::exchange(connection->dialling, false)) return;  // timer and connect can both come
  halt(connection->timer);
  pool->dialling -= 1;
  error_code ignored;
  if (up) {
    // A start that was told meanwhile is the one that answered, unless the server has moved.
    if (connection->where == pool->where) connection->process = pool->process;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    return release(connection, true);
  }
  drop(connection);
  // Each that waits has a dial; one whose place was taken over by a freed connection leaves a spare.
  if (pool->rests == 0 && pool->waiting.size() > pool->dialling) fail_first(*pool);
}

void UpstreamClient::forget(Pool& pool, const Connection& connection) {
  connections_ -= 1;
  if (connection.idle) {
    pool.idle.erase(std::find_if(pool.idle.begin(), pool.idle.end(),
                                 [&](const auto& held) { return held.get() == &connection; }));
  }
}

std::shared_ptr<UpstreamClient::Connection> UpstreamClient::take_idle(Pool& pool) {
  const Clock::Steady::time_point now = Clock::Steady::now();
  std::size_t at = pool.idle.size();
  while (at-- > 0) {
    std::shared_ptr<Connection> connection = pool.idle[at];
    if (connection->rested > now) continue;
    // Danger: neither the timer nor the close may have been seen yet, on a core that others share.
    if (connection->timer.expiry() > now && !is_readable(connection->socket)) {
      pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(at));
      connection->idle = false;
      connection->idle_turn += 1;
      halt(connection->timer);
      error_code ignored;
      connection->socket.cancel(ignored);  // the wait for the server's close
      return connection;
    }
    drop(connection);
  }
  return nullptr;
}

// Closes a connection that carries nothing.
void UpstreamClient::drop(const std::shared_ptr<Connection>& connection) {
  forget(*connection->pool, *connection);
  connection->idle = false;
  halt(connection->timer);
  error_code ignored;
  connection->socket.close(ignored);
}

// A connection that is free serves who waits for one, even while that one's own dial is under way; but one
// that has just carried an answer rests before.
void UpstreamClient::release(const std::shared_ptr<Connection>& connection, bool fresh) {
  const std::shared_ptr<Pool> pool = connection->pool;
  // Danger: bytes that nobody asked for would be taken for the answer to the next request.
  if (connection->process != pool->process || !pool->usable || connection->buffer.size() > 0 ||
      is_readable(connection->socket)) {
    drop(connection);
    // Each that waits has a dial. This one may have been the last one's, to where the server no longer
    // listens or to one that speaks unasked.
    if (pool->rests == 0 && pool->waiting.size() > pool->dialling) fail_first(*pool);
    return;
  }
  if (connection->buffer.capacity() > kKeptBuffer) connection->buffer.shrink_to_fit();
  connection->idle = true;
  connection->rested = Clock::Steady::now() + (fresh ? Clock::Steady::duration{} : Clock::span(kRest));
  pool->idle.push_back(connection);
  const std::uint64_t turn = ++connection->idle_turn;
  const auto end = [this, alive = alive_, connection, turn](error_code cancelled) {
    if (!cancelled && *alive && connection->idle && connection->idle_turn == turn) drop(connection);
  };
  connection->timer.expires_after(Clock::span(limits_.server_idle_timeout * kIdlePart));
  connection->timer.async_wait(end);
  connection->socket.async_wait(tcp::socket::wait_read, end);
  if (pool->waiting.empty()) return;
  if (fresh) return serve_waiting(*pool);
  serve_rested(pool);
}

// Once what is idle has rested. It may turn out to be of no use, so that a dial is needed after all.
void UpstreamClient::serve_rested(const std::shared_ptr<Pool>& pool) {
  pool->rests += 1;
  const auto rest = std::make_shared<asio::steady_timer>(io_, Clock::span(kRest));
  rest->async_wait([this, alive = alive_, pool, rest](error_code) {
    if (!*alive) return;
    pool->rests -= 1;
    serve_waiting(*pool);
    if (pool->rests > 0) return;
    for (std::size_t n = pool->waiting.size(); n > pool->dialling && !pool->waiting.empty();) {
      if (pool->usable && make_room()) {
        dial(pool);
      } else {
        fail_first(*pool);
        --n;
      }
    }
  });
}

void UpstreamClient::serve_waiting(Pool& pool) {
  while (!pool.waiting.empty()) {
    const std::shared_ptr<Attempt> next = pool.waiting.front();
    if (next->is_abandoned()) {
      end_later(next, Outcome::kCancelled);
      continue;
    }
    std::shared_ptr<Connection> connection = take_idle(pool);
    if (!connection) return;
    pool.waiting.pop_front();
    next->begin(*this, next, std::move(connection));
  }
}

void UpstreamClient::drop_idle(Pool& pool) {
  for (const std::shared_ptr<Connection>& connection : pool.idle) {
    connection->idle = false;
    halt(connection->timer);
    error_code ignored;
    connection->socket.close(ignored);
    connections_ -= 1;
  }
  pool.idle.clear();
}

// Closes the connection that has been idle the longest, when there may be no more.
bool UpstreamClient::make_room() {
  if (connections_ < limits_.max_connections) return true;
  Pool* oldest = nullptr;
  for (auto& [name, pool] : pools_) {
    if (pool->idle.empty()) continue;
    if (oldest == nullptr || pool->idle.front()->timer.expiry() < oldest->idle.front()->timer.expiry()) {
      oldest = pool.get();
    }
  }
  if (oldest == nullptr) return false;
  drop(std::shared_ptr<Connection>(oldest->idle.front()));
  return true;
}

// ---------------------------------------------------------------- attempts

void UpstreamClient::Attempt::begin(UpstreamClient& owner, const std::shared_ptr<Attempt>& self,
                                    std::shared_ptr<Connection> on) {
  connection = std::move(on);
  HttpRequest out;
  out.base() = request->request.base();
  out.set(http::field::host, pool->where.address().to_string() + ":" + std::to_string(pool->where.port()));
  // What is left now: a part of the time may have gone by in the wait for the connection.
  const double left = std::chrono::duration<double>(deadline - Clock::Steady::now()).count();
  out.set("X-Timeout-Ms", std::to_string(static_cast<long long>(std::max(1.0, std::floor(left * 1000)))));
  std::ostringstream text;
  text << out.base();
  wire = std::move(text).str();
  const std::string& start = request->request.body();
  if (start.size() > kCopied && !(rest && !rest->length())) {
    start_out = std::shared_ptr<const std::string>(request, &start);  // too large to have twice
  } else {
    wire += framed(start, rest);
  }
  request.reset();
  if (!share.try_resize(wire.size())) return owner.end_later(self, Outcome::kNotSent);
  write(owner, self);
}

// How long it may take: from now on, and for a request whose body is still coming anew with its last byte.
void UpstreamClient::Attempt::end_by(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  until = Clock::Steady::now() + Clock::span(timeout);
  if (rest) return;
  timer.expires_at(until);
  timer.async_wait([&owner, alive = owner.alive_, self](error_code cancelled) {
    if (cancelled || !*alive || self->ended || self->body_out) return;
    owner.finish(self, self->sent ? Outcome::kTimedOut : Outcome::kConnectFailed, false);
  });
}

// Ends it if the peer moves no byte for too long.
void UpstreamClient::Attempt::expect(UpstreamClient& owner, const std::shared_ptr<Attempt>& self,
                                     Outcome otherwise) {
  whole.expires_after(Clock::span(kSilence));
  whole.async_wait([&owner, alive = owner.alive_, self, otherwise](error_code cancelled) {
    if (cancelled || !*alive || self->ended || self->whole.expiry() > Clock::Steady::now()) return;
    owner.finish(self, otherwise, false);
  });
}

// Puts what has come of the rest of the body on the wire; false while there is nothing.
bool UpstreamClient::Attempt::next_of_rest(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  const std::string more = rest->take();
  written = 0;
  wire = framed(more, rest);
  share.resize(wire.capacity());
  if (!more.empty()) return true;
  if (rest->is_complete()) {
    if (!rest->length()) wire = kLastChunk;
    rest.reset();
    return true;
  }
  if (rest->is_aborted()) {
    owner.end_later(self, Outcome::kCancelled);  // its caller has gone, and the last byte was not written
    return false;
  }
  halt(whole);
  rest->when_readable([&owner, alive = owner.alive_, self] {
    if (*alive && !self->ended) self->write(owner, self);
  });
  // Danger: nothing is being written, so that a server that breaks off meanwhile is noticed only with the
  // next piece, or after the caller's time for one.
  if (std::exchange(watched, true)) return false;
  connection->socket.async_wait(tcp::socket::wait_read,
                                [&owner, alive = owner.alive_, self, held = connection](error_code) {
                                  if (*alive && !self->ended && !self->sent)
                                    owner.end_later(self, Outcome::kConnectFailed);
                                });
  return false;
}

// Guards against an answer to the last request that comes while this one is being written: up to its last
// byte nothing that arrives can be meant for it, and a connection that is closed before that byte has run
// nothing.
void UpstreamClient::Attempt::write(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  if (ending) return;
  while (written < wire.size() || start_out || rest) {
    const std::string& now = start_out && head_out ? *start_out : wire;
    if (written == now.size()) {
      written = 0;
      if (start_out && !std::exchange(head_out, true)) continue;
      if (start_out) {
        start_out.reset();
        wire.clear();
        continue;
      }
      if (!next_of_rest(owner, self)) return;
      continue;
    }
    if (is_readable(connection->socket) || Clock::Steady::now() > send_until)
      return owner.end_later(self, Outcome::kConnectFailed);
    const ssize_t n = ::send(connection->socket.native_handle(), now.data() + written, now.size() - written,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0) {
      written += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      if (streamed) expect(owner, self, Outcome::kConnectFailed);
      return connection->socket.async_wait(tcp::socket::wait_write, [&owner, alive = owner.alive_, self,
                                                                     held = connection](error_code problem) {
        if (!*alive || self->ended) return;
        if (problem) return owner.finish(self, Outcome::kConnectFailed, false);
        self->write(owner, self);
      });
    } else if (n == 0 || errno != EINTR) {
      return owner.end_later(self,
                             Outcome::kConnectFailed);  // the last byte was not written: it can't have run
    }
  }
  sent = true;
  owner.metrics_.attempt_sent();
  if (streamed) {
    halt(whole);
    begun = Clock::Steady::now();
    end_by(owner, self);
  }
  wire = {};
  share.resize(0);
  read(owner, self);
}

void UpstreamClient::Attempt::read(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  parser.emplace();
  parser->header_limit(kHeaderLimit);
  parser->body_limit(kBodyLimit);
  // Danger: a parser that is eager may take in a part of the body with the head, with no room made for it.
  parser->eager(false);
  if (connection->buffer.size() > 0) return begin_answer(owner, self);
  // Danger: the read below tells of nothing before a head is whole, and some stop in the midst of that.
  connection->socket.async_wait(tcp::socket::wait_read,
                                [&owner, alive = owner.alive_, self, held = connection](error_code problem) {
                                  if (!*alive || self->ended) return;
                                  if (problem) return owner.finish(self, Outcome::kReset, false);
                                  self->begin_answer(owner, self);
                                });
}

// Danger: an attempt that ends lets go of its connection while the socket's operation is still to be called
// off, and that one works on the connection's buffer: each operation holds on to it.
void UpstreamClient::Attempt::read_more(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  piece.resize(kPiece);
  http::buffer_body::value_type& room = parser->get().body();
  room.data = piece.data();
  room.size = piece.size();
  room.more = true;
  http::async_read_some(
      connection->socket, connection->buffer, *parser,
      [&owner, alive = owner.alive_, self, held = connection](error_code problem, std::size_t) {
        if (!*alive || self->ended) return;
        if (problem == http::error::need_buffer) problem = {};
        self->came(owner, self, problem, kPiece - self->parser->get().body().size);
      });
}

// So many bytes of the body, or the head.
void UpstreamClient::Attempt::came(UpstreamClient& owner, const std::shared_ptr<Attempt>& self,
                                   error_code problem, std::size_t n) {
  if (body_out) {
    if (body_out->is_reader_closed()) return owner.finish(self, Outcome::kCancelled, false);
    body_out->write(piece.data(), n);
  } else {
    body.append(piece.data(), n);
  }
  if (problem && !parser->is_done()) {
    const bool broken = problem == http::error::end_of_stream || problem == http::error::partial_message ||
                        problem.category() == boost::system::system_category() ||
                        problem.category() == asio::error::get_misc_category();
    // What can't be read as an answer came from a server that had the request: it may have run too.
    return owner.finish(self, broken ? Outcome::kReset : Outcome::kUnknown, false);
  }
  if (parser->is_done()) return answered(owner, self);
  if (!body_out) {
    if (is_large()) {
      if (parser->get().result() != http::status::ok) return owner.finish(self, outcome_of(head()), false);
      stream(owner, self);
    } else if (!share.try_resize(connection->buffer.capacity() + piece.capacity() + body.capacity())) {
      return owner.finish(self, Outcome::kUnknown, false);
    }
  }
  if (!body_out) return read_more(owner, self);
  halt(whole);  // it is the client that is waited for now, if anyone
  body_out->when_writable([&owner, alive = owner.alive_, self] {
    if (!*alive || self->ended) return;
    if (self->body_out->is_reader_closed()) return owner.finish(self, Outcome::kCancelled, false);
    self->expect(owner, self, Outcome::kReset);
    self->read_more(owner, self);
  });
}

// Whether an answer is known to be larger than stays whole.
bool UpstreamClient::Attempt::is_large() const {
  return parser->is_header_done() &&
         (body.size() > kWholeBody || parser->content_length().value_or(0) > kWholeBody);
}

// Whether one that tells no length has come fast enough so far to be a large one on its way.
bool UpstreamClient::Attempt::moves() const {
  return parser->is_header_done() && !parser->content_length() &&
         parser->get().result() == http::status::ok && static_cast<double>(body.size()) >= kSlowest * kWhole;
}

// From here on the answer is passed on as it comes.
void UpstreamClient::Attempt::stream(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  halt(timer);
  std::optional<std::uint64_t> length;
  if (const auto told = parser->content_length()) length = *told;
  body_out = std::make_shared<BodyPipe>(owner.io_, owner.budget_, length);
  body_out->when_reader_closed([&owner, alive = owner.alive_, weak = std::weak_ptr(self)] {
    const auto attempt = weak.lock();
    if (attempt && *alive && !attempt->ended) owner.finish(attempt, Outcome::kCancelled, false);
  });
  body_out->write(body.data(), body.size());
  body = {};
  share.resize(piece.capacity());
  report.begun(head(), body_out, elapsed());
}

// Given up, it may have run: the server had the request, or it would not have begun to answer.
void UpstreamClient::Attempt::begin_answer(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  first_byte = Clock::Steady::now();
  whole.expires_after(Clock::span(kWhole));
  whole.async_wait([&owner, alive = owner.alive_, self](error_code cancelled) {
    if (cancelled || !*alive || self->ended || self->body_out || self->whole.expiry() > Clock::Steady::now())
      return;
    if (!self->moves()) return owner.finish(self, Outcome::kReset, false);
    // The read that is out goes on; what it brings finds the pipe.
    self->stream(owner, self);
    self->expect(owner, self, Outcome::kReset);
  });
  read_more(owner, self);
}

HttpResponse UpstreamClient::Attempt::head() const {
  HttpResponse out;
  out.base() = parser->get().base();
  return out;
}

double UpstreamClient::Attempt::elapsed() const {
  return std::chrono::duration<double>((body_out ? first_byte : Clock::Steady::now()) - begun).count();
}

void UpstreamClient::Attempt::answered(UpstreamClient& owner, const std::shared_ptr<Attempt>& self) {
  const http::response<http::buffer_body>& answer = parser->get();
  const unsigned status = answer.result_int();
  if (status >= 100 && status < 200) {
    if (status == 101 || ++interim > kMostInterim) return owner.finish(self, Outcome::kUnknown, false);
    halt(whole);  // the answer itself has not begun
    return read(owner, self);
  }
  // An answer that ends with its connection may have been cut short, unless the server meant to close.
  if (parser->get().need_eof() && !answer.has_content_length() && !answer.chunked() &&
      !http::token_list(answer[http::field::connection]).exists("close")) {
    return owner.finish(self, Outcome::kReset, false);
  }
  if (body_out) body_out->finish();
  owner.finish(self, outcome_of(head()), parser->keep_alive());
}

// The connection is free again before the outcome is told: what the module sends next may use it.
void UpstreamClient::finish(const std::shared_ptr<Attempt>& attempt, Outcome outcome, bool keep) {
  if (std::exchange(attempt->ended, true)) return;
  halt(attempt->timer);
  halt(attempt->whole);
  leave_queue(*attempt);
  if (const std::shared_ptr<Connection> connection = std::exchange(attempt->connection, nullptr)) {
    if (keep) {
      release(connection, false);
    } else {
      drop(connection);
    }
  }
  HttpResponse answer;
  if (attempt->body_out) {
    attempt->body_out->abort();  // unless it is whole
  } else if (outcome == Outcome::kSucceeded) {
    answer = attempt->head();
    answer.body() = std::move(attempt->body);
  }
  // One that took nothing of it leaves it to the next.
  if (attempt->rest && attempt->rest->has_been_read()) attempt->rest->close_reader();
  const double elapsed = attempt->elapsed();
  const AttemptCallbacks report = std::move(attempt->report);
  attempt->report = {};
  report.ended(outcome, std::move(answer), elapsed);
}

}  // namespace nettleyoke::node
