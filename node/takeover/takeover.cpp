#include "takeover/takeover.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "clock.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"
#include "settings_reader.h"

namespace nettleyoke::node {
namespace {

// s. Danger: a server that was taken out by a call to the other process counts as draining from its yes on,
// and nothing may be sent to it 0.5 s later.
constexpr double kLook = 0.1;

// Holds the file's lock. Holders keep it for one small read and write; without it a change of the other
// process that comes at the same time could be lost.
class Lock {
 public:
  explicit Lock(const std::string& path) : fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
    while (fd_ >= 0 && ::flock(fd_, LOCK_EX) != 0 && errno == EINTR) {
    }
  }
  ~Lock() {
    if (fd_ >= 0) ::close(fd_);
  }
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;

 private:
  int fd_;
};

}  // namespace

std::optional<int> inherited_listener(const char* text) {
  if (text == nullptr || *text == '\0') return std::nullopt;
  const std::string_view digits = text;
  int fd = -1;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), fd);
  int listens = 0;
  socklen_t size = sizeof listens;
  if (problem != std::errc() || end != digits.data() + digits.size() || fd < 0 ||
      ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
    throw std::runtime_error("RELAY_LISTEN_FD: " + std::string(digits) + " is no listening socket");
  }
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return fd;
}

DisabledServers::DisabledServers(boost::asio::io_context& io, std::string directory, Changed changed)
    : file_(directory.empty() ? "" : std::move(directory) + "/thymewood-disabled.json"),
      changed_(std::move(changed)),
      timer_(io) {}

void DisabledServers::load() {
  if (file_.empty()) return;
  const Lock lock(file_ + ".lock");
  seen_ = stamp();
  std::set<std::string> out;
  if (read(out)) adopt(std::move(out));
}

void DisabledServers::set_disabled(const std::string& server, bool out) {
  std::set<std::string> all = out_;
  const auto change = [&] {
    out ? static_cast<void>(all.insert(server)) : static_cast<void>(all.erase(server));
  };
  if (file_.empty()) {
    change();
    return adopt(std::move(all));
  }
  const Lock lock(file_ + ".lock");
  std::set<std::string> told;
  if (read(told)) all = std::move(told);  // the other process may have changed it since
  change();
  adopt(std::move(all));
  write();
  seen_ = stamp();
}

void DisabledServers::watch_file() {
  if (file_.empty()) return;
  timer_.expires_after(Clock::span(kLook));
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) return;
    if (stamp() != seen_) load();
    watch_file();
  });
}

// False where there is none, or none that can be used.
bool DisabledServers::read(std::set<std::string>& out) {
  std::ifstream file(file_, std::ios::binary);
  if (!file) return false;
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  try {
    rapidjson::Document in;
    in.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
    if (in.HasParseError()) throw std::runtime_error("not valid JSON");
    for (const json::Value& name : json::array(in, "disabled").GetArray()) {
      if (!name.IsString()) throw std::runtime_error("a name is not a string");
      out.emplace(name.GetString(), name.GetStringLength());
    }
  } catch (const std::exception& problem) {
    std::clog << "disabled servers: " << file_ << ": " << problem.what() << "; left aside\n";
    out.clear();
    return false;
  }
  return true;
}

// By rename: the other process reads the old file or the new one, never a part.
void DisabledServers::write() const {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  json.StartObject();
  json.Key("disabled");
  json.StartArray();
  for (const std::string& name : out_)
    json.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
  json.EndArray();
  json.EndObject();
  const std::string part = file_ + ".new";
  std::ofstream file(part, std::ios::binary | std::ios::trunc);
  file << text.GetString() << '\n';
  file.close();
  if (!file || std::rename(part.c_str(), file_.c_str()) != 0) {
    std::clog << "disabled servers: cannot write " << file_ << ": " << std::strerror(errno)
              << "; they hold in this process alone\n";
  }
}

void DisabledServers::adopt(std::set<std::string> out) {
  if (out == out_) return;
  out_ = std::move(out);
  changed_(out_);
}

std::string DisabledServers::stamp() const {
  struct stat state {};
  if (::stat(file_.c_str(), &state) != 0) return {};
  return std::to_string(state.st_ino) + ":" + std::to_string(state.st_mtim.tv_sec) + "." +
         std::to_string(state.st_mtim.tv_nsec);
}

}  // namespace nettleyoke::node
