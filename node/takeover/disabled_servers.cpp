#include "takeover/disabled_servers.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "json_fields.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::node {
namespace {

// A server that was disabled by a call to the other process counts as draining from that call's YES on, and
// nothing may be sent to it half a second later.
constexpr std::chrono::milliseconds kFilePollInterval{100};

// Holds the lock beside the file for one small read and write. Without it a change of the other process that
// comes at the same time could be lost.
class FileLock {
 public:
  explicit FileLock(const std::string& file)
      : descriptor_(::open((file + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
    while (descriptor_ >= 0 && ::flock(descriptor_, LOCK_EX) != 0 && errno == EINTR) {
    }
  }
  ~FileLock() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

 private:
  int descriptor_;
};

std::set<std::string> parse_servers(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) throw json::InvalidMessage("not valid JSON");
  std::set<std::string> servers;
  for (const json::Value& name : json::array(document, "disabled").GetArray()) {
    if (!name.IsString()) throw json::InvalidMessage("a name is not a string");
    servers.emplace(name.GetString(), name.GetStringLength());
  }
  return servers;
}

std::string format_servers(const std::set<std::string>& servers) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  writer.Key("disabled");
  writer.StartArray();
  for (const std::string& name : servers) {
    writer.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
  }
  writer.EndArray();
  writer.EndObject();
  return {text.GetString(), text.GetSize()};
}

}  // namespace

DisabledServers::DisabledServers(boost::asio::io_context& io, const std::string& directory, Changed changed)
    : file_(directory.empty() ? "" : directory + "/" + kFileName),
      changed_(std::move(changed)),
      poll_timer_(io) {}

void DisabledServers::load() {
  if (file_.empty()) return;
  const FileLock lock(file_);
  seen_version_ = file_version();
  if (auto servers = read_file()) adopt(std::move(*servers));
}

void DisabledServers::set_disabled(const std::string& server, bool disabled) {
  std::optional<FileLock> lock;
  std::set<std::string> servers = servers_;
  if (!file_.empty()) {
    lock.emplace(file_);
    // The other process may have changed it since.
    if (auto written = read_file()) servers = std::move(*written);
  }
  if (disabled) {
    servers.insert(server);
  } else {
    servers.erase(server);
  }
  adopt(std::move(servers));
  if (file_.empty()) return;
  write_file();
  seen_version_ = file_version();
}

void DisabledServers::watch_file() {
  if (file_.empty()) return;
  poll_timer_.expires_after(kFilePollInterval);
  poll_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) return;
    if (file_version() != seen_version_) load();
    watch_file();
  });
}

// Nothing where there is no file, or none that can be used.
std::optional<std::set<std::string>> DisabledServers::read_file() const {
  std::ifstream file(file_, std::ios::binary);
  if (!file) return std::nullopt;
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  try {
    return parse_servers(text);
  } catch (const std::exception& error) {
    std::clog << "disabled servers: " << file_ << ": " << error.what() << "; left aside\n";
    return std::nullopt;
  }
}

// By rename: the other process reads the old file or the new one, never a part.
void DisabledServers::write_file() const {
  const std::string part = file_ + ".new";
  std::ofstream file(part, std::ios::binary | std::ios::trunc);
  file << format_servers(servers_) << '\n';
  file.close();
  if (!file || std::rename(part.c_str(), file_.c_str()) != 0) {
    std::clog << "disabled servers: cannot write " << file_ << ": " << std::strerror(errno)
              << "; they hold in this process alone\n";
  }
}

void DisabledServers::adopt(std::set<std::string> servers) {
  if (servers == servers_) return;
  servers_ = std::move(servers);
  changed_(servers_);
}

// Tells one writing of the file from the next; empty where there is none.
std::string DisabledServers::file_version() const {
  struct stat state {};
  if (::stat(file_.c_str(), &state) != 0) return {};
  return std::to_string(state.st_ino) + ":" + std::to_string(state.st_mtim.tv_sec) + "." +
         std::to_string(state.st_mtim.tv_nsec);
}

}  // namespace nettleyoke::node
