#include "stand_ins/discovery_stand_in.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <sstream>
#include <utility>

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using node::Clock;
using tcp = asio::ip::tcp;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kBeat = 2;             // s between empty lines
constexpr double kToldAtTheLatest = 6;  // s; a change counts as told by then, whether it came or not

void write(Writer& json, const Entry& entry) {
  const auto text = [&json](const char* field, const std::string& value) {
    json.Key(field);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  text("name", entry.name);
  text("address", entry.address);
  text("zone", entry.zone);
  text("type", "m1");
  json.Key("group");
  json.Int(0);
  text("status", entry.status);
  json.Key("weight");
  json.Double(1);
  json.Key("since_ms");
  json.Int64(entry.since_ms);
  json.EndObject();
}

std::string list(std::uint64_t index, bool whole, const std::vector<const Entry*>& entries) {
  rapidjson::StringBuffer buffer;
  Writer json(buffer);
  json.StartObject();
  json.Key("index");
  json.Uint64(index);
  json.Key("snapshot");
  json.Bool(whole);
  json.Key("endpoints");
  json.StartArray();
  for (const Entry* entry : entries) write(json, *entry);
  json.EndArray();
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

}  // namespace

void RequestCatalog::set(const Entry& entry) {
  ++index_;
  history_.push_back(entry);
  if (entry.status == "removed") {
    entries_.erase(entry.name);
  } else {
    entries_[entry.name] = entry;
  }
}

std::string RequestCatalog::snapshot() const {
  std::vector<const Entry*> all;
  all.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) all.push_back(&entry);
  return list(index_, true, all);
}

std::optional<std::string> RequestCatalog::changes_after(std::uint64_t index) const {
  if (index > index_) return std::nullopt;
  std::map<std::string, const Entry*> last;  // of each server its last state alone
  for (std::size_t i = index; i < history_.size(); ++i) last[history_[i].name] = &history_[i];
  std::vector<const Entry*> changed;
  changed.reserve(last.size());
  for (const auto& [name, entry] : last) changed.push_back(entry);
  return list(index_, false, changed);
}

std::vector<Entry> RequestCatalog::since(std::uint64_t index) const {
  if (index >= index_) return {};
  return {history_.begin() + static_cast<std::ptrdiff_t>(index), history_.end()};
}

// One call of the node, from its request to its end.
class Agent::ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Agent& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  void start() {
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](error_code bad, std::size_t size) {
                       if (self->owner_ == nullptr) return;
                       if (bad) return self->leave();
                       self->owner_->counts_.bytes_in += size;
                       self->owner_->counts_.calls += 1;
                       self->asked_ = true;
                       self->answer();
                       self->wait_for_end();
                     });
  }
  // What was asked and not answered, for nobody could, is answered now.
  void answer() {
    if (!asked_ || answered_ || owner_->silent_) return;
    answered_ = true;
    const std::string target(request_.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path != "/catalog/members") return say("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
    is_watch_ = target.find("watch=1") != std::string::npos;
    if (!is_watch_) {
      const std::string body = owner_->catalog_.snapshot();
      owner_->counts_.whole_lists += 1;
      return say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t at = target.find("after=");
    if (at != std::string::npos) {
      std::from_chars(target.data() + at + 6, target.data() + target.size(), index_);
    }
    tell(true);
  }
  // What changed since the last object. The first one holds nothing where nothing did.
  void tell(bool first) {
    if (!is_watch_ || stalled_ || (!first && index_ == owner_->catalog_.index())) return;
    if (index_ > 0) owner_->counts_.entries += owner_->catalog_.since(index_).size();
    const auto changes = index_ > 0 ? owner_->catalog_.changes_after(index_) : std::nullopt;
    if (!changes) owner_->counts_.whole_lists += 1;
    index_ = owner_->catalog_.index();
    say(chunk((changes ? *changes : owner_->catalog_.snapshot()) + "\n"));
  }
  void beat() {
    if (is_watch_ && !stalled_) say(chunk("\n"));
  }
  void stall() { stalled_ = is_watch_; }
  bool is_watch() const { return is_watch_; }
  bool is_stalled() const { return stalled_; }
  void reset() {
    error_code ignored;
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    orphan();
  }
  void orphan() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void wait_for_end() {
    socket_.async_read_some(asio::buffer(rest_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->leave();
      self->wait_for_end();
    });
  }
  void leave() {
    Agent* owner = owner_;
    orphan();
    owner->sessions_.erase(shared_from_this());
  }
  void say(const std::string& bytes) {
    owner_->counts_.bytes_out += bytes.size();
    waiting_ += bytes;
    if (writing_.empty()) write();
  }
  void write() {
    writing_.swap(waiting_);
    if (writing_.empty()) return;
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](error_code bad, std::size_t) {
                        if (self->owner_ == nullptr || bad) return;  // its end shows as it is read
                        self->writing_.clear();
                        self->write();
                      });
  }

  Agent* owner_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::array<char, 256> rest_{};
  std::string waiting_, writing_;
  std::uint64_t index_ = 0;
  bool asked_ = false, answered_ = false, is_watch_ = false, stalled_ = false;
};

Agent::Agent(asio::io_context& io, const Clock& clock, Audit& audit, std::size_t node, bool pushed)
    : io_(io),
      clock_(clock),
      audit_(audit),
      node_(node),
      pushed_(pushed),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      beat_(io) {
  accept();
  beat();
}

Agent::~Agent() {
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->orphan();
}

void Agent::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == asio::error::operation_aborted) return;
    if (!bad) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<ClientConnection>(*this, std::move(socket));
      sessions_.insert(session);
      session->start();
    }
    accept();
  });
}

void Agent::beat() {
  beat_.expires_after(Clock::span(kBeat));
  beat_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    if (!silent_) {
      for (const std::shared_ptr<ClientConnection>& session : sessions_) session->beat();
    }
    beat();
  });
}

void Agent::send(const RequestCatalog& catalog) {
  if (delay_ <= 0) return learn(catalog);
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(delay_));
  timer->async_wait([this, timer, catalog](error_code cancelled) {
    if (!cancelled) learn(catalog);
  });
}

void Agent::learn(const RequestCatalog& catalog) {
  if (silent_ || cut_off_) {
    missed_ = catalog;
    return;
  }
  if (catalog.index() <= catalog_.index()) return;  // told late, after a newer one
  // A watch that has fallen silent tells nothing, and its node has to find that out; where lists are asked
  // for, so does one that has no watch open.
  bool open = false, stalled = false;
  for (const std::shared_ptr<ClientConnection>& session : sessions_) {
    open |= session->is_watch() && !session->is_stalled();
    stalled |= session->is_stalled();
  }
  const bool at_once = open || (pushed_ && !stalled);
  const double at = clock_.now() + (at_once ? 0 : kToldAtTheLatest);
  for (const Entry& entry : catalog.since(catalog_.index())) {
    audit_.told(node_, entry.name, entry.status == "up", entry.status == "up" ? clock_.now() : at);
  }
  catalog_ = catalog;
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->tell(false);
}

void Agent::set_silent(bool silent) {
  silent_ = silent;
  if (silent) return;
  if (missed_ && !cut_off_) learn(*std::exchange(missed_, std::nullopt));
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->answer();
}

void Agent::set_cut_off(bool cut_off) {
  cut_off_ = cut_off;
  if (!cut_off && !silent_ && missed_) learn(*std::exchange(missed_, std::nullopt));
}

void Agent::reset_watches() {
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    if ((*at)->is_watch()) {
      (*at)->reset();
      at = sessions_.erase(at);
    } else {
      ++at;
    }
  }
}

void Agent::stall_watches() {
  for (const std::shared_ptr<ClientConnection>& session : sessions_) session->stall();
}

}  // namespace nettleyoke::lab
