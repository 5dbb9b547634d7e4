#include "admin/admin_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "clock.h"

namespace nettleyoke::node {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kLongestLine = 512;
constexpr double kPatience = 2.5;      // s; for a whole line, and for the caller to take the answer
constexpr double kLinger = 0.5;        // s; for the caller to read the answer before the connection is closed
constexpr double kAcceptPause = 0.02;  // s; after an accept that failed

std::string no(const std::string& why) { return "NO " + why + "\n"; }

}  // namespace

class AdminServer::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(AdminServer& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  std::list<std::shared_ptr<Caller>>::iterator at;  // in the owner's list

  void start() {
    allow(kPatience);
    asio::async_read_until(socket_, line_, '\n',
                           [self = shared_from_this()](error_code bad, std::size_t length) {
                             if (self->owner_ == nullptr || self->answering_) return;
                             if (!bad) return self->reply(self->owner_->answer(self->line(length)));
                             if (bad == asio::error::not_found) return self->reply(no("line too long"));
                             self->incomplete();
                           });
  }
  bool has_asked() {
    error_code ignored;
    return answering_ || socket_.available(ignored) > 0;
  }
  void close() {
    AdminServer* owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    halt(timer_);
    error_code ignored;
    socket_.close(ignored);
    owner->callers_.erase(at);
  }
  void orphan() { owner_ = nullptr; }

 private:
  void allow(double seconds) {
    timer_.expires_after(Clock::span(seconds));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || Clock::Steady::now() < self->timer_.expiry()) return;
      if (self->answering_) return self->close();
      self->incomplete();
    });
  }

  std::string line(std::size_t length) const {
    const auto from = asio::buffers_begin(line_.data());
    return {from, from + static_cast<std::ptrdiff_t>(length)};
  }

  // Who has said nothing is owed nothing.
  void incomplete() {
    if (line_.size() == 0) return close();
    reply(no("no whole line"));
  }

  void reply(std::string text) {
    answering_ = true;
    answer_ = std::move(text);
    allow(kPatience);
    asio::async_write(socket_, asio::buffer(answer_),
                      [self = shared_from_this()](error_code bad, std::size_t) {
                        if (self->owner_ == nullptr) return;
                        if (bad) return self->close();
                        error_code ignored;
                        self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
                        self->allow(kLinger);
                        self->pass_over();
                      });
  }

  // Danger: closing with unread bytes resets the connection, and the caller may lose the answer.
  void pass_over() {
    socket_.async_read_some(asio::buffer(rest_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->close();
      self->pass_over();
    });
  }

  AdminServer* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf line_{kLongestLine};
  std::string answer_;
  std::array<char, kLongestLine> rest_{};
  bool answering_ = false;
};

AdminServer::AdminServer(asio::io_context& io, Handlers calls)
    : io_(io), calls_(std::move(calls)), acceptor_(io), pause_(io) {}

AdminServer::~AdminServer() {
  for (const std::shared_ptr<Caller>& caller : callers_) caller->orphan();
}

void AdminServer::listen(const tcp::endpoint& where) {
  tcp::acceptor acceptor(io_, where);  // reuses the address
  acceptor_ = std::move(acceptor);
  accept();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == asio::error::operation_aborted) return;
    if (bad) {
      pause_.expires_after(Clock::span(kAcceptPause));
      return pause_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
      });
    }
    // Danger: callers that say nothing stay for seconds. The one that has been there the longest makes room.
    if (callers_.size() >= kMostCallers) {
      const auto silent = std::find_if(callers_.begin(), callers_.end(),
                                       [](const auto& caller) { return !caller->has_asked(); });
      const std::shared_ptr<Caller> leaves = silent != callers_.end() ? *silent : callers_.front();
      leaves->close();
    }
    const auto caller = std::make_shared<Caller>(*this, std::move(socket));
    caller->at = callers_.insert(callers_.end(), caller);
    caller->start();
    accept();
  });
}

std::string AdminServer::answer(std::string line) const {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
  const std::size_t space = line.find(' ');
  const std::string call = line.substr(0, space);
  const std::string id = space == std::string::npos ? "" : line.substr(space + 1);
  if (call == "READY" || call == "STATS") {
    if (space != std::string::npos) return no(call + " takes nothing more");
    if (call == "STATS") return calls_.stats() + "\nEND\n";
    return calls_.ready() ? "YES\n" : no("not ready");
  }
  if (call == "DISABLE" || call == "ENABLE") {
    if (id.empty() || id.find(' ') != std::string::npos) return no(call + " takes one server's id");
    const std::string problem = calls_.set(id, call == "ENABLE");
    return problem.empty() ? "YES\n" : no(problem);
  }
  return no("unknown call; READY, STATS, DISABLE ID and ENABLE ID are known");
}

}  // namespace nettleyoke::node
