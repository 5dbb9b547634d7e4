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

// A server that was disabled by a command to the other process counts as draining from the reply to that
// command, and must get no new requests half a second later.
constexpr std::chrono::milliseconds kFilePollInterval{100};

// Locks a file next to the shared file during one short read and write. Without the lock, a simultaneous
// change by the other process could be lost.
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
    if (!name.IsString())
      throw json::InvalidMessage("field 'disabled' contains an item that is not a string");
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

DisabledServers::DisabledServers(boost::asio::io_context& io, const std::string& directory,
                                 ChangeCallback on_change)
    : file_path_(directory.empty() ? "" : directory + "/" + kFileName),
      on_change_(std::move(on_change)),
      poll_timer_(io) {}

void DisabledServers::load() {
  if (file_path_.empty()) return;
  const FileLock lock(file_path_);
  last_file_version_ = file_version();
  if (auto servers = read_file()) replace_servers(std::move(*servers));
}

void DisabledServers::set_disabled(const std::string& server, bool disabled) {
  std::optional<FileLock> lock;
  std::set<std::string> servers = servers_;
  if (!file_path_.empty()) {
    lock.emplace(file_path_);
    // The other process may have changed the file since it was last read.
    if (auto written = read_file()) servers = std::move(*written);
  }
  if (disabled) {
    servers.insert(server);
  } else {
    servers.erase(server);
  }
  replace_servers(std::move(servers));
  if (file_path_.empty()) return;
  write_file();
  last_file_version_ = file_version();
}

void DisabledServers::watch_file() {
  if (file_path_.empty()) return;
  poll_timer_.expires_after(kFilePollInterval);
  poll_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) return;
    if (file_version() != last_file_version_) load();
    watch_file();
  });
}

// Returns nothing if there is no file or the file is malformed.
std::optional<std::set<std::string>> DisabledServers::read_file() const {
  std::ifstream file(file_path_, std::ios::binary);
  if (!file) return std::nullopt;
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  try {
    return parse_servers(text);
  } catch (const std::exception& error) {
    std::clog << "disabled servers: " << file_path_ << ": " << error.what() << "; file ignored\n";
    return std::nullopt;
  }
}

// Replaces the file by a rename, so that the other process never reads a partly written file.
void DisabledServers::write_file() const {
  const std::string temporary_path = file_path_ + ".new";
  std::ofstream file(temporary_path, std::ios::binary | std::ios::trunc);
  file << format_servers(servers_) << '\n';
  file.close();
  if (!file || std::rename(temporary_path.c_str(), file_path_.c_str()) != 0) {
    std::clog << "disabled servers: cannot write " << file_path_ << ": " << std::strerror(errno)
              << "; the change applies to this process only\n";
  }
}

void DisabledServers::replace_servers(std::set<std::string> servers) {
  if (servers == servers_) return;
  servers_ = std::move(servers);
  on_change_(servers_);
}

// Identifies the current version of the file; empty if there is no file.
std::string DisabledServers::file_version() const {
  struct stat status {};
  if (::stat(file_path_.c_str(), &status) != 0) return {};
  return std::to_string(status.st_ino) + ":" + std::to_string(status.st_mtim.tv_sec) + "." +
         std::to_string(status.st_mtim.tv_nsec);
}

}  // namespace nettleyoke::node
